/** The platform's object API for the command line. */

import {Agent} from 'node:http';
import tsResults from 'ts-results';
import type {Result} from 'ts-results';
import type {ObjectChange} from '@lacewingroad/core';
import type {Instant, Runtime} from '@lacewingroad/runtime';
import {parseObject, parseObjectList, parseUpdated} from './answers.js';
import type {ObjectList, UpdatedObject} from './answers.js';
import {callHttp} from './http_call.js';
import type {HttpCall, HttpResult, HttpTarget} from './http_call.js';
import {getCall, isRefusal, listCall, putCall} from './object_calls.js';

// The package is CommonJS without named exports for ES modules.
const {Err, Ok} = tsResults;

/** Why a call of the platform did not succeed. */
export type PlatformError =
  /** Another update came first; `standing` is what stands now. */
  | {
      readonly kind: 'conflict';
      readonly message: string;
      readonly standing: ObjectChange;
    }
  /** Nothing took effect. */
  | {readonly kind: 'refused'; readonly message: string}
  /** Nobody knows whether it took effect. */
  | {readonly kind: 'unknown'; readonly message: string}
  /** The platform answered something else than its protocol says. */
  | {readonly kind: 'invalid_answer'; readonly message: string};

/** A result of a platform call. */
export type PlatformResult<T> = Result<T, PlatformError>;

/** What a platform client needs. */
export interface PlatformClientConfig {
  readonly runtime: Runtime;
  /** `http://IP:PORT` of the platform. */
  readonly url: string;
  /** Local IP address of the connections; null or absent for any. */
  readonly sourceAddress?: string | null;
}

/** Returns the error of a call that got no proper answer. */
function toFailure(
  result: HttpResult,
  isUpdate: boolean,
): PlatformError | null {
  if (result.type === 'not_sent') {
    return createRefusal(result.detail);
  }
  if (result.type === 'no_answer') {
    return isUpdate
      ? createUnknown(result.detail)
      : createRefusal(result.detail);
  }
  if (isRefusal(result.status)) {
    return createRefusal(`HTTP status ${result.status}`);
  }
  return null;
}

/** Creates the error of a call that had no effect. */
function createRefusal(detail: string): PlatformError {
  const message = `The platform did not take the call (${detail}); nothing took effect, try again.`;
  return {kind: 'refused', message};
}

/** Creates the error of an update that may have taken effect. */
function createUnknown(detail: string): PlatformError {
  const message = `The answer to the update did not arrive (${detail}); read the object to see whether it took effect before trying again.`;
  return {kind: 'unknown', message};
}

/** Creates the error of an answer that the protocol does not know. */
function createInvalid(result: HttpResult): PlatformError {
  const status = result.type === 'answered' ? result.status : 'none';
  const message = `The platform gave an answer that its protocol does not have (HTTP status ${status}); check the platform URL.`;
  return {kind: 'invalid_answer', message};
}

/** Returns the status and body of an answer; null for none. */
function readAnswer(
  result: HttpResult,
  status: number,
): {readonly body: unknown} | null {
  return result.type === 'answered' && result.status === status ? result : null;
}

/** Reads and updates objects of the platform; close it after use. */
export class PlatformClient {
  private readonly target: HttpTarget;

  constructor(cfg: PlatformClientConfig) {
    this.target = {
      runtime: cfg.runtime,
      url: new URL(cfg.url),
      agent: new Agent({keepAlive: true}),
      sourceAddress: cfg.sourceAddress ?? null,
    };
  }

  /** Reads one object; null when there is none. */
  async getObject(
    key: string,
    deadline: Instant,
  ): Promise<PlatformResult<ObjectChange | null>> {
    const result = await this.call(getCall(key, deadline));
    if (readAnswer(result, 404) !== null) {
      return Ok(null);
    }
    return this.finish(result, parseObject, false);
  }

  /** Lists the objects changed after a revision; 0 lists all. */
  async listObjects(
    since: number,
    deadline: Instant,
  ): Promise<PlatformResult<ObjectList>> {
    const result = await this.call(listCall(since, deadline));
    return this.finish(result, parseObjectList, false);
  }

  /** Replaces an object if it stands at `baseVersion` (0: absent). */
  async putObject(
    key: string,
    baseVersion: number,
    value: unknown,
    deadline: Instant,
  ): Promise<PlatformResult<UpdatedObject>> {
    const call = putCall(key, baseVersion, value, deadline);
    const result = await this.call(call);
    const conflict = readAnswer(result, 409);
    const standing = conflict === null ? null : parseObject(conflict.body);
    if (standing !== null) {
      const message = `The object stands at version ${standing.version}, not ${baseVersion}; read it again and repeat the change on what stands.`;
      return Err({kind: 'conflict', message, standing});
    }
    return this.finish(result, parseUpdated, true);
  }

  /** Closes the connections. */
  close(): void {
    this.target.agent.destroy();
  }

  private call(call: HttpCall): Promise<HttpResult> {
    return callHttp(this.target, call);
  }

  /** Turns the end of a call into a result. */
  private finish<T>(
    result: HttpResult,
    parse: (body: unknown) => T | null,
    isUpdate: boolean,
  ): PlatformResult<T> {
    const failure = toFailure(result, isUpdate);
    if (failure !== null) {
      return Err(failure);
    }
    const answer = readAnswer(result, 200);
    const value = answer === null ? null : parse(answer.body);
    if (value !== null) {
      return Ok(value);
    }
    return Err(
      isUpdate
        ? createUnknown('the answer was not a valid one')
        : createInvalid(result),
    );
  }
}
