/** Runs administrative commands on endpoints, each on its own connection. */

import {escape} from 'mysql2';
import type {
  ActionOf,
  ConnAnswer,
  EndpointCommand,
  EndpointCommandedEvent,
} from '@lacewingroad/core';
import {openEndpointConn, type EndpointConnConfig} from './endpoint_conn.js';

type CommandAction = ActionOf<'command_endpoint'>;

/** Formats a command as SQL. */
function formatCommand(command: EndpointCommand): string {
  if (command.type === 'promote') {
    return `CALL ledger_promote(${command.term}, ${command.startIndex})`;
  }
  const {primary, address, port, term, startIndex} = command;
  const primaryArgs = `${escape(primary)}, ${escape(address)}, ${port}`;
  return `CALL ledger_follow(${primaryArgs}, ${term}, ${startIndex})`;
}

/**
 * Runs a command. `emit` receives exactly one event by the deadline, unless the
 * returned function is called, which cancels the command without an event.
 */
export function runEndpointCommand(
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
      const phase = wasOpen ? 'while it ran' : 'before it was sent';
      const detail = `connection lost ${phase}: ${fault}`;
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
