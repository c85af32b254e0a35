/** The prepared statements of one caller. */

import type {Statement} from '@lacewingroad/core';
import {
  MalformedPacketError,
  readParams,
  type ParamType,
} from './execute_params.js';
import type {PacketReader} from './mysql2_types.js';
import {
  MAX_PACKET_BYTES,
  MAX_PREPARED_SQL_LENGTH,
  MAX_PREPARED_STATEMENTS,
} from './limits.js';
import {countPlaceholders} from './placeholder.js';

/** Maximum number of parameters: the protocol counts them in 16 bits. */
export const MAX_PLACEHOLDERS = 0xffff;

/** A prepared statement; `longData` is for its next execution. */
interface PreparedStatement {
  readonly sql: string;
  readonly placeholders: number;
  readonly types: readonly ParamType[];
  readonly longData: ReadonlyMap<number, Buffer>;
}

/** Holds the prepared statements of one connection by id. */
export class PreparedStatements {
  private readonly statements = new Map<number, PreparedStatement>();
  private nextId = 1;
  private totalSqlLength = 0;

  /** Returns whether the limits allow another statement. */
  canAdd(sql: string): boolean {
    return (
      this.statements.size < MAX_PREPARED_STATEMENTS &&
      this.totalSqlLength + sql.length <= MAX_PREPARED_SQL_LENGTH
    );
  }

  /**
   * Adds a statement; returns its id and number of parameters. A statement with
   * more than `MAX_PLACEHOLDERS` is not stored.
   */
  add(sql: string): {readonly id: number; readonly placeholders: number} {
    const id = this.nextId++;
    const placeholders = countPlaceholders(sql);
    const statement = {sql, placeholders, types: [], longData: new Map()};
    if (placeholders <= MAX_PLACEHOLDERS) {
      this.statements.set(id, statement);
      this.totalSqlLength += sql.length;
    }
    return {id, placeholders};
  }

  /**
   * Parses the parameters of an execution; returns null when the statement does
   * not exist.
   *
   * @throws MalformedPacketError when the packet is malformed.
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
    const updated = {...prepared, types: bound.types, longData: new Map()};
    this.statements.set(id, updated);
    return {sql: prepared.sql, params: bound.values};
  }

  /**
   * Appends a chunk of COM_STMT_SEND_LONG_DATA to a parameter.
   *
   * @throws MalformedPacketError when the statement's long data is too large.
   */
  appendLongData(id: number, param: number, bytes: Buffer): void {
    const prepared = this.statements.get(id);
    if (prepared === undefined || param >= prepared.placeholders) {
      return;
    }
    const previous = prepared.longData.get(param) ?? Buffer.alloc(0);
    const longData = new Map(prepared.longData);
    longData.set(param, Buffer.concat([previous, bytes]));
    const total = [...longData.values()].reduce((sum, b) => sum + b.length, 0);
    if (total > MAX_PACKET_BYTES) {
      throw new MalformedPacketError('long data too large');
    }
    this.statements.set(id, {...prepared, longData});
  }

  /** Discards long data; returns false if the statement does not exist. */
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
    this.totalSqlLength -= this.statements.get(id)?.sql.length ?? 0;
    this.statements.delete(id);
  }

  /** Removes all statements. */
  clear(): void {
    this.statements.clear();
    this.totalSqlLength = 0;
  }
}
