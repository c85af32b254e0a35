/** Dispatches messages of other hosts to handlers through one table. */

import type {Blackboard} from './blackboard.js';
import {unchanged} from './engine.js';
import type {Change, Context, Handler} from './engine.js';
import type {HostId} from '../model/ids.js';
import type {PeerMessage} from '../model/message.js';

/** Handles one type of message from a host. */
type MessageHandler<T extends PeerMessage['type']> = (
  board: Blackboard,
  host: HostId,
  msg: Extract<PeerMessage, {type: T}>,
  ctx: Context,
) => Change;

/** Handlers by message type. */
export type MessageHandlers = {
  readonly [T in PeerMessage['type']]?: MessageHandler<T>;
};

/** Returns the handler of `peer_message` that looks messages up in a table. */
export function createMessageHandler(
  handlers: MessageHandlers,
): Handler<'peer_message'> {
  return (board, event, ctx) => {
    const handle = handlers[event.msg.type] as
      MessageHandler<PeerMessage['type']> | undefined;
    return handle === undefined
      ? unchanged(board)
      : handle(board, event.host, event.msg, ctx);
  };
}
