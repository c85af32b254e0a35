/** The platform's object API: an adapter for entry hosts, a client for tools. */

export type {ObjectList, UpdatedObject} from './answers.js';
export {callHttp} from './http_call.js';
export type {HttpCall, HttpResult} from './http_call.js';
export {createPlatformAdapter} from './platform_adapter.js';
export type {PlatformAdapterConfig} from './platform_adapter.js';
export {PlatformClient, toUpdateResult} from './platform_client.js';
export type {
  PlatformClientConfig,
  PlatformReadError,
  PlatformUpdateError,
} from './platform_client.js';
