/**
 * Who may use a database: callers with a key of some workspace, or anybody if
 * the route is public or the table has no workspaces. Keys are compared by
 * their digests. The load it answers: keys that are added, moved and revoked
 * while their callers are connected and hosts lose the store.
 */

import type {RouteTable, WorkspaceId} from '../model/directory.js';

/** Whether a caller may use a database, and for which workspace. */
export type Access =
  | {readonly type: 'granted'; readonly workspace: WorkspaceId | null}
  | {readonly type: 'no_database'}
  | {readonly type: 'unknown_key'};

/** What a statement is checked against at the owner of its group. */
export interface AccessClaim {
  readonly database: string;
  readonly workspace: WorkspaceId | null;
  readonly keyDigest: string | null;
  /** Version of the table by which the entry host granted access. */
  readonly tableVersion: number;
}

/** Returns whether a caller with this key may use a database. */
export function checkAccess(
  table: RouteTable,
  database: string,
  keyDigest: string | null,
): Access {
  const route = table.routes.get(database);
  if (route === undefined) {
    return {type: 'no_database'};
  }
  if (table.workspaces === null) {
    return {type: 'granted', workspace: null};
  }
  const workspace =
    keyDigest === null ? undefined : table.workspaces.owners.get(keyDigest);
  if (workspace === undefined && !route.isPublic) {
    return {type: 'unknown_key'};
  }
  return {type: 'granted', workspace: workspace ?? null};
}

/**
 * Returns whether the owner's table contradicts the access that an entry host
 * granted. A table older than that host's proves nothing: the key may be newer.
 */
export function isAccessRevoked(
  table: RouteTable | null,
  claim: AccessClaim,
): boolean {
  if (table === null || table.version < claim.tableVersion) {
    return false;
  }
  const access = checkAccess(table, claim.database, claim.keyDigest);
  // A route that was dropped is still in force for transactions begun before.
  return (
    access.type === 'unknown_key' ||
    (access.type === 'granted' &&
      access.workspace !== (claim.workspace ?? null))
  );
}
