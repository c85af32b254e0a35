/** MySQL protocol adapters: a server for callers, clients for endpoints. */

export type {CallerUser} from './auth.js';
export {createCallerAdapter} from './caller_adapter.js';
export type {CallerAdapter, CallerAdapterConfig} from './caller_adapter.js';
export {createEndpointAdapter} from './endpoint_adapter.js';
export type {
  EndpointAdapter,
  EndpointAdapterConfig,
} from './endpoint_adapter.js';
