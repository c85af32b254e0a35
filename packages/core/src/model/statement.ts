/** A caller's statement as it is sent between hosts. */

/** A parameter of a prepared statement. */
export type ParamValue = string | number | bigint | boolean | Uint8Array | null;

/** A statement; `params` is null for a text query. */
export interface Statement {
  readonly sql: string;
  readonly params: readonly ParamValue[] | null;
}
