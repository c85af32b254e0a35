/** Connections between entry hosts. */

export {decodeFrame, encodeFrame} from './frames.js';
export type {BatchFrame, Frame, HelloFrame} from './frames.js';
export type {HybridClock, IdleHeartbeats} from './link.js';
export {MAX_WAITING_MESSAGES, RECEIVE_TIMEOUT_MS} from './limits.js';
export {createPeerAdapter} from './peer_adapter.js';
export type {PeerAdapter, PeerAdapterConfig} from './peer_adapter.js';
export type {PeerEvent, TypedMessage} from './typed_message.js';
