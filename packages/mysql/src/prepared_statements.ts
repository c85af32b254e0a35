/** The prepared statements of one caller. */

import type {Statement} from '@lacewingroad/core';
import {
  MalformedPacketError,
  readParams,
  type ParamType,
} from './execute_params.js';
import type {PacketReader} from './library.js';
import {
  MAX_PACKET_BYTES,
  MAX_PREPARED_BYTES,
  MAX_PREPARED_STATEMENTS,
} from './limits.js';
import {countPlaceholders} from './placeholder.js';

/** Parameters that the protocol can count. */
export const MAX_PLACEHOLDERS = 0xffff;

/** A statement that a caller prepared. */
interface PreparedStatement {
  readonly sql: string;
  readonly placeholders: number;
  readonly types: readonly ParamType[];
  readonly longData: ReadonlyMap<number, Buffer>;
}

/** Keeps the prepared statements of one connection by id. */
export class PreparedStatements {
  private readonly statements = new Map<number, PreparedStatement>();
  private nextId = 1;
  private sqlLength = 0;

  /** Whether another statement may be prepared. */
  hasRoomFor(sql: string): boolean {
    return (
      this.statements.size < MAX_PREPARED_STATEMENTS &&
      this.sqlLength + sql.length <= MAX_PREPARED_BYTES
    );
  }

  /** Adds a statement and returns its id and number of parameters. */
  add(sql: string): {readonly id: number; readonly placeholders: number} {
    const id = this.nextId++;
    const placeholders = countPlaceholders(sql);
    const statement = {sql, placeholders, types: [], longData: new Map()};
    if (placeholders <= MAX_PLACEHOLDERS) {
      this.statements.set(id, statement);
      this.sqlLength += sql.length;
    }
    return {id, placeholders};
  }

  /**
   * Reads an execution behind its statement id; returns null when there is no
   * such statement.
   *
   * @throws MalformedPacketError when the packet cannot be read.
   */
  bind(id: number, packet: PacketReader): Statement | null {
    const prepared = this.statements.get(id);
    if (prepared === undefined) {
      return null;
    }
    const bound = readParams(
      packet,
      prepared.placeholders,
      prepared.types,
      prepared.longData,
    );
    const used = {...prepared, types: bound.types, longData: new Map()};
    this.statements.set(id, used);
    return {sql: prepared.sql, params: bound.values};
  }

  /**
   * Appends to a parameter that is sent ahead of the execution.
   *
   * @throws MalformedPacketError when it grows too large.
   */
  appendLongData(id: number, param: number, bytes: Buffer): void {
    const prepared = this.statements.get(id);
    if (prepared === undefined || param >= prepared.placeholders) {
      return;
    }
    const before = prepared.longData.get(param) ?? Buffer.alloc(0);
    const longData = new Map(prepared.longData);
    longData.set(param, Buffer.concat([before, bytes]));
    const total = [...longData.values()].reduce((sum, b) => sum + b.length, 0);
    if (total > MAX_PACKET_BYTES) {
      throw new MalformedPacketError('parameters sent ahead are too large');
    }
    this.statements.set(id, {...prepared, longData});
  }

  /** Forgets what was sent ahead; returns false without such a statement. */
  reset(id: number): boolean {
    const prepared = this.statements.get(id);
    if (prepared === undefined) {
      return false;
    }
    this.statements.set(id, {...prepared, longData: new Map()});
    return true;
  }

  /** Removes a statement. */
  remove(id: number): void {
    this.sqlLength -= this.statements.get(id)?.sql.length ?? 0;
    this.statements.delete(id);
  }

  /** Removes all statements. */
  clear(): void {
    this.statements.clear();
    this.sqlLength = 0;
  }
}
