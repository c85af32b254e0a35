/** Administrative commands to endpoints, each over a connection of its own. */

import {escape} from 'mysql2';
import type {
  ActionOf,
  ConnAnswer,
  EndpointCommand,
  EndpointCommandedEvent,
} from '@lacewingroad/core';
import {openEndpointConn, type EndpointConnConfig} from './endpoint_conn.js';

type CommandAction = ActionOf<'command_endpoint'>;

/** Writes a command as SQL. */
function formatCommand(command: EndpointCommand): string {
  if (command.type === 'promote') {
    return `CALL ledger_promote(${command.term}, ${command.startIndex})`;
  }
  const {primary, address, port, term, startIndex} = command;
  const place = `${escape(primary)}, ${escape(address)}, ${port}`;
  return `CALL ledger_follow(${place}, ${term}, ${startIndex})`;
}

/**
 * Runs a command; `emit` gets exactly one event by the deadline, unless the
 * returned function is called, which gives up at once.
 */
export function commandEndpoint(
  cfg: EndpointConnConfig,
  action: CommandAction,
  emit: (event: EndpointCommandedEvent) => void,
): () => void {
  const {endpoint} = action;
  const finish = (ok: boolean, detail: string): void => {
    cancelDeadline();
    conn.destroy();
    emit({type: 'endpoint_commanded', endpoint, ok, detail});
  };
  const onAnswer = (answer: ConnAnswer): void => {
    if (answer.type === 'error') {
      const {errno, sqlState, message} = answer.error;
      finish(false, `${errno} (${sqlState}) ${message}`);
      return;
    }
    finish(true, '');
  };
  const conn = openEndpointConn(cfg, action, {
    onOpen: () => {
      const sql = formatCommand(action.command);
      conn.run({sql, params: null}, onAnswer);
    },
    onLost: (fault, wasOpen) => {
      cancelDeadline();
      const place = wasOpen ? 'while it ran' : 'before it was sent';
      const detail = `connection lost ${place}: ${fault}`;
      emit({type: 'endpoint_commanded', endpoint, ok: false, detail});
    },
  });
  const cancelDeadline = cfg.runtime.at(action.deadline, () =>
    finish(false, 'no answer by the deadline'),
  );
  return () => {
    cancelDeadline();
    conn.destroy();
  };
}
