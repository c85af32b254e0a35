/** Prepares a connection for a statement of a session. */

import type {RunMessage} from '../model/message.js';
import type {EndpointCommand} from '../model/statement.js';
import type {Conn} from './state.js';

/** The commands that prepare a connection for a job. */
interface Preparation {
  readonly commands: readonly EndpointCommand[];
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: ReadonlySet<string>;
}

/**
 * Returns the name of a shape's prepared statement, the same on all
 * connections.
 */
function namePrepared(access: string, shape: string): string {
  return `${access === 'read' ? 'r' : 'w'}_${shape}`.slice(0, 60);
}

/**
 * Returns the commands to send before a statement, so that the connection has
 * its session's values and the prepared shape that it executes. All sessions
 * use the same name for a shape, so it is prepared only once per connection.
 */
export function prepareConn(conn: Conn, msg: RunMessage): Preparation {
  const wanted = new Map(msg.session.values);
  const isSubset = [...conn.values.keys()].every(name => wanted.has(name));
  const held = isSubset ? conn.values : new Map<string, string>();
  const sets = [...wanted]
    .filter(([name, value]) => held.get(name) !== value)
    .map(([name, value]): EndpointCommand => ({type: 'set', name, value}));
  const commands: EndpointCommand[] = isSubset
    ? sets
    : [{type: 'reset'}, ...sets];
  const prepared = new Set(isSubset ? conn.prepared : []);
  const {statement} = msg;
  if (statement.type === 'execute') {
    const {access, shape} = statement;
    const name = namePrepared(access, shape);
    if (!prepared.has(name)) {
      commands.push({type: 'prepare', name, access, shape});
      prepared.add(name);
    }
  }
  return {commands, values: wanted, prepared};
}

/** Returns the command that carries a job's statement. */
export function toCommand(msg: RunMessage): EndpointCommand {
  const {statement} = msg;
  return statement.type === 'execute'
    ? {...statement, name: namePrepared(statement.access, statement.shape)}
    : statement;
}
