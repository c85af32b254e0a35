/** Messages and events of connections, independent of the message types. */

import type {HostId} from '@lacewingroad/core';

/** The common part of all messages between hosts. */
export interface TypedMessage {
  readonly type: string;
}

/** Events of the connections to other hosts. */
export type PeerEvent<M extends TypedMessage = TypedMessage> =
  | {
      readonly type: 'peer_up' | 'peer_down';
      readonly host: HostId;
      readonly generation: number;
    }
  | {
      readonly type: 'peer_message';
      readonly host: HostId;
      readonly generation: number;
      readonly msg: M;
    };
