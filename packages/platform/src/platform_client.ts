/** The one client of the platform's object API. */

import {Agent} from 'node:http';
import tsResults from 'ts-results';
import type {Result} from 'ts-results';
import type {ObjectChange, UpdateResult} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import {parseObject, parseObjectList, parseUpdated} from './answers.js';
import type {ObjectList, UpdatedObject} from './answers.js';
import {callHttp} from './http_call.js';
import type {HttpCall, HttpResult, HttpTarget} from './http_call.js';
import {getCall, isRefusal, listCall, putCall} from './object_calls.js';

// The package is CommonJS without named exports for ES modules.
const {Err, Ok} = tsResults;

/** A call that had no effect. */
interface RefusedError {
  readonly kind: 'refused';
  readonly message: string;
  /** What the call met, without the remedy. */
  readonly detail: string;
}

/** An answer that the protocol does not have. */
interface InvalidAnswerError {
  readonly kind: 'invalid_answer';
  readonly message: string;
  readonly detail: string;
}

/** Why a read did not succeed. */
export type PlatformReadError = RefusedError | InvalidAnswerError;

/** Why an update did not succeed. */
export type PlatformUpdateError =
  /** Another update came first; `standing` is what stands now. */
  | {
      readonly kind: 'conflict';
      readonly message: string;
      readonly standing: ObjectChange;
    }
  | RefusedError
  /** Nobody knows whether it took effect. */
  | {
      readonly kind: 'unknown';
      readonly message: string;
      readonly detail: string;
    };

/** What a platform client needs. */
export interface PlatformClientConfig {
  readonly runtime: Runtime;
  /** `http://IP:PORT` of the platform. */
  readonly url: string;
  /** Local IP address of the connections; null or absent for any. */
  readonly sourceAddress?: string | null;
  /** Connections at once, further calls wait; absent for no limit. */
  readonly maxConnections?: number;
}

/** Creates the error of a call that had no effect. */
function createRefusal(detail: string): RefusedError {
  const message = `The platform did not take the call (${detail}); nothing took effect, try again.`;
  return {kind: 'refused', message, detail};
}

/** Creates the error of an update that may have taken effect. */
function createUnknown(detail: string): PlatformUpdateError {
  const message = `The answer to the update did not arrive (${detail}); read the object to see whether it took effect before trying again.`;
  return {kind: 'unknown', message, detail};
}

/** Creates the error of an answer that the protocol does not know. */
function createInvalid(status: number): InvalidAnswerError {
  const detail = `HTTP status ${status}`;
  const message = `The platform gave an answer that its protocol does not have (${detail}); check the platform URL.`;
  return {kind: 'invalid_answer', message, detail};
}

/** Returns the refusal that a call ended with, or null. */
function readRefusal(result: HttpResult): RefusedError | null {
  if (result.type === 'not_sent') {
    return createRefusal(result.detail);
  }
  return result.type === 'answered' && isRefusal(result.status)
    ? createRefusal(`HTTP status ${result.status}`)
    : null;
}

/** Turns the end of a read into its result. */
function finishRead<T>(
  result: HttpResult,
  parse: (body: unknown) => T | null,
): Result<T, PlatformReadError> {
  const refusal = readRefusal(result);
  if (refusal !== null) {
    return Err(refusal);
  }
  if (result.type !== 'answered') {
    return Err(createRefusal(result.detail));
  }
  const value = result.status === 200 ? parse(result.body) : null;
  return value === null ? Err(createInvalid(result.status)) : Ok(value);
}

/** Turns the end of an update into its result; without proof it is unknown. */
function finishUpdate(
  result: HttpResult,
  baseVersion: number,
): Result<UpdatedObject, PlatformUpdateError> {
  const refusal = readRefusal(result);
  if (refusal !== null) {
    return Err(refusal);
  }
  if (result.type !== 'answered') {
    return Err(createUnknown(result.detail));
  }
  const updated = result.status === 200 ? parseUpdated(result.body) : null;
  if (updated !== null) {
    return Ok(updated);
  }
  const standing = result.status === 409 ? parseObject(result.body) : null;
  if (standing === null) {
    return Err(createUnknown(`HTTP status ${result.status}`));
  }
  const message = `The object stands at version ${standing.version}, not ${baseVersion}; read it again and repeat the change on what stands.`;
  return Err({kind: 'conflict', message, standing});
}

/** Returns how an update ended in the terms of the decision library. */
export function toUpdateResult(
  put: Result<UpdatedObject, PlatformUpdateError>,
): UpdateResult {
  if (put.ok) {
    return {type: 'updated', ...put.val};
  }
  const err = put.val;
  return err.kind === 'conflict'
    ? {type: 'conflict', version: err.standing.version}
    : {type: err.kind};
}

/** Reads and updates objects of the platform; close it after use. */
export class PlatformClient {
  private readonly target: HttpTarget;

  constructor(cfg: PlatformClientConfig) {
    this.target = {
      runtime: cfg.runtime,
      url: new URL(cfg.url),
      agent: new Agent({
        keepAlive: true,
        maxSockets: cfg.maxConnections ?? Infinity,
      }),
      sourceAddress: cfg.sourceAddress ?? null,
    };
  }

  /** Reads one object; null when there is none. */
  async getObject(
    key: string,
    deadline: Instant,
  ): Promise<Result<ObjectChange | null, PlatformReadError>> {
    const result = await this.call(getCall(key, deadline));
    const isAbsent = result.type === 'answered' && result.status === 404;
    return isAbsent ? Ok(null) : finishRead(result, parseObject);
  }

  /** Lists the objects changed after a revision; 0 lists all. */
  async listObjects(
    since: number,
    deadline: Instant,
  ): Promise<Result<ObjectList, PlatformReadError>> {
    return finishRead(
      await this.call(listCall(since, deadline)),
      parseObjectList,
    );
  }

  /** Replaces an object if it stands at `baseVersion` (0: absent). */
  async putObject(
    key: string,
    baseVersion: number,
    value: unknown,
    deadline: Instant,
  ): Promise<Result<UpdatedObject, PlatformUpdateError>> {
    const call = putCall(key, baseVersion, value, deadline);
    return finishUpdate(await this.call(call), baseVersion);
  }

  /** Closes the connections. */
  close(): void {
    this.target.agent.destroy();
  }

  private call(call: HttpCall): Promise<HttpResult> {
    return callHttp(this.target, call);
  }
}
