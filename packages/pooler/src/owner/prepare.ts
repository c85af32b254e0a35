/** Prepares a connection for a statement of a session. */

import type {RunMessage} from '../model/message.js';
import type {EndpointCommand} from '../model/statement.js';
import type {Conn} from './state.js';

type PreparedShape = Pick<
  Extract<EndpointCommand, {type: 'prepare'}>,
  'access' | 'shape'
>;

/** The commands that prepare a connection for a job. */
interface Preparation {
  readonly commands: readonly EndpointCommand[];
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: Conn['prepared'];
  /** The command that carries the statement. */
  readonly statement: EndpointCommand;
}

/** Prepared statements per connection after which it is reset. */
const MAX_PREPARED = 200;

/** Returns the key of a prepared statement: the whole of what was prepared. */
function getShapeKey({access, shape}: PreparedShape): string {
  return `${access} ${shape}`;
}

/**
 * Returns the commands to send before a statement, so that the connection has
 * its session's values and the prepared shape that it executes. The names of
 * prepared statements are numbers of the connection. All sessions share them,
 * so a shape is prepared only once per connection.
 */
export function prepareConn(conn: Conn, msg: RunMessage): Preparation {
  const {statement} = msg;
  const wanted = new Map(msg.session.values);
  const isSubset = [...conn.values.keys()].every(name => wanted.has(name));
  // A transaction keeps its connection as it is: a reset would end it.
  const isFull = conn.prepared.size >= MAX_PREPARED && conn.tx === null;
  const isKept = isSubset && !isFull;
  const held = isKept ? conn.values : new Map<string, string>();
  const sets = [...wanted]
    .filter(([name, value]) => held.get(name) !== value)
    .map(([name, value]): EndpointCommand => ({type: 'set', name, value}));
  const commands: EndpointCommand[] = isKept
    ? sets
    : [{type: 'reset'}, ...sets];
  const prepared = isKept ? conn.prepared : new Map<string, string>();
  if (statement.type !== 'execute') {
    return {commands, values: wanted, prepared, statement};
  }
  const {access, shape} = statement;
  const key = getShapeKey(statement);
  const known = prepared.get(key);
  const name = known ?? `p${prepared.size + 1}`;
  if (known === undefined) {
    commands.push({type: 'prepare', name, access, shape});
  }
  return {
    commands,
    values: wanted,
    prepared: known === undefined ? new Map(prepared).set(key, name) : prepared,
    statement: {...statement, name},
  };
}
