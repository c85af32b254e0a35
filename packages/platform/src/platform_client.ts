/** The client of the platform's object API. */

import {Agent} from 'node:http';
import tsResults from 'ts-results';
import type {Result} from 'ts-results';
import type {ObjectChange, UpdateResult} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import {parseObject, parseObjectList, parseUpdatedObject} from './answers.js';
import type {ObjectList, UpdatedObject} from './answers.js';
import {callHttp} from './http_call.js';
import type {HttpCall, HttpResult, HttpTarget} from './http_call.js';
import {
  createGetCall,
  isRefusal,
  createListCall,
  createPutCall,
} from './object_calls.js';

// The package is CommonJS without named exports for ES modules.
const {Err, Ok} = tsResults;

/** A call that had no effect. */
interface RefusedError {
  readonly kind: 'refused';
  readonly message: string;
  /** The cause, without the advice that `message` adds. */
  readonly detail: string;
}

/** An answer that is not part of the protocol. */
interface InvalidAnswerError {
  readonly kind: 'invalid_answer';
  readonly message: string;
  readonly detail: string;
}

/** Why a read failed. */
export type PlatformReadError = RefusedError | InvalidAnswerError;

/** Why an update failed. */
export type PlatformUpdateError =
  /** Another update came first; `standing` is the current object. */
  | {
      readonly kind: 'conflict';
      readonly message: string;
      readonly standing: ObjectChange;
    }
  | RefusedError
  /** The update may or may not have taken effect. */
  | {
      readonly kind: 'unknown';
      readonly message: string;
      readonly detail: string;
    };

/** Configuration of a platform client. */
export interface PlatformClientConfig {
  readonly runtime: Runtime;
  /** `http://IP:PORT` of the platform. */
  readonly url: string;
  /** Local IP address of the connections; null or absent for any. */
  readonly sourceAddress?: string | null;
  /** Concurrent connections, beyond which calls wait; absent for no limit. */
  readonly maxConnections?: number;
}

/** Creates the error for a call that had no effect. */
function createRefusedError(detail: string): RefusedError {
  const message = `The platform did not take the call (${detail}); nothing took effect, try again.`;
  return {kind: 'refused', message, detail};
}

/** Creates the error for an update that may have taken effect. */
function createUnknownError(detail: string): PlatformUpdateError {
  const message = `The answer to the update did not arrive (${detail}); read the object to see whether it took effect before trying again.`;
  return {kind: 'unknown', message, detail};
}

/** Creates the error for an answer that is not part of the protocol. */
function createInvalidAnswerError(status: number): InvalidAnswerError {
  const detail = `HTTP status ${status}`;
  const message = `The platform's answer is not part of its protocol (${detail}); check the platform URL.`;
  return {kind: 'invalid_answer', message, detail};
}

/** Returns the error of a call that was refused or not sent, or null. */
function toRefusedError(result: HttpResult): RefusedError | null {
  if (result.type === 'not_sent') {
    return createRefusedError(result.detail);
  }
  return result.type === 'answered' && isRefusal(result.status)
    ? createRefusedError(`HTTP status ${result.status}`)
    : null;
}

/** Converts the HTTP result of a read. */
function toReadResult<T>(
  result: HttpResult,
  parse: (body: unknown) => T | null,
): Result<T, PlatformReadError> {
  const refusal = toRefusedError(result);
  if (refusal !== null) {
    return Err(refusal);
  }
  if (result.type !== 'answered') {
    return Err(createRefusedError(result.detail));
  }
  const value = result.status === 200 ? parse(result.body) : null;
  return value === null
    ? Err(createInvalidAnswerError(result.status))
    : Ok(value);
}

/** Converts the HTTP result of an update; an unclear result becomes `unknown`. */
function toPutResult(
  result: HttpResult,
  baseVersion: number,
): Result<UpdatedObject, PlatformUpdateError> {
  const refusal = toRefusedError(result);
  if (refusal !== null) {
    return Err(refusal);
  }
  if (result.type !== 'answered') {
    return Err(createUnknownError(result.detail));
  }
  const updated =
    result.status === 200 ? parseUpdatedObject(result.body) : null;
  if (updated !== null) {
    return Ok(updated);
  }
  const standing = result.status === 409 ? parseObject(result.body) : null;
  if (standing === null) {
    return Err(createUnknownError(`HTTP status ${result.status}`));
  }
  const message = `The object is at version ${standing.version}, not ${baseVersion}; read it again and apply the change to the current version.`;
  return Err({kind: 'conflict', message, standing});
}

/** Converts the result of an update to the decision library's type. */
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

/** Reads and updates objects of the platform; must be closed after use. */
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

  /** Reads one object; returns null if it does not exist. */
  async getObject(
    key: string,
    deadline: Instant,
  ): Promise<Result<ObjectChange | null, PlatformReadError>> {
    const result = await this.call(createGetCall(key, deadline));
    const isAbsent = result.type === 'answered' && result.status === 404;
    return isAbsent ? Ok(null) : toReadResult(result, parseObject);
  }

  /** Lists the objects changed after a revision; 0 lists all objects. */
  async listObjects(
    since: number,
    deadline: Instant,
  ): Promise<Result<ObjectList, PlatformReadError>> {
    return toReadResult(
      await this.call(createListCall(since, deadline)),
      parseObjectList,
    );
  }

  /** Replaces an object if it is at version `baseVersion` (0: absent). */
  async putObject(
    key: string,
    baseVersion: number,
    value: unknown,
    deadline: Instant,
  ): Promise<Result<UpdatedObject, PlatformUpdateError>> {
    const call = createPutCall(key, baseVersion, value, deadline);
    return toPutResult(await this.call(call), baseVersion);
  }

  /** Closes the connections. */
  close(): void {
    this.target.agent.destroy();
  }

  private call(call: HttpCall): Promise<HttpResult> {
    return callHttp(this.target, call);
  }
}
