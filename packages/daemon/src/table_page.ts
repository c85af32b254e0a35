/** The response of GET /table: the tables in force on this host. */

import type {Blackboard, Instant, TableRow} from '@lacewingroad/core';
import {compareText, computeAgeMs} from './pages.js';

/** The table of one service that is in force on this host. */
export interface TableEntry {
  readonly service: string;
  readonly version: number;
  /** Time since this version came into force on this host, in milliseconds. */
  readonly inForceForMs: number | null;
  readonly editId: string;
  readonly rows: readonly TableRow[];
}

/** Body of the response. */
export interface TablePage {
  readonly host: string;
  readonly dataCentre: string;
  readonly revision: number;
  /** Age of this host's view of the platform in milliseconds; null if none. */
  readonly viewAgeMs: number | null;
  readonly tables: readonly TableEntry[];
}

/** Builds the response from the blackboard; tables are sorted by service. */
export function buildTablePage(board: Blackboard, now: Instant): TablePage {
  const {self, view} = board;
  const tables = [...view.tables.entries()].map(([service, table]) => ({
    service,
    version: table.version,
    inForceForMs: computeAgeMs(view.tablesInForceSince.get(service), now),
    editId: table.value.editId,
    rows: table.value.rows,
  }));
  return {
    host: self.host,
    dataCentre: self.dataCentre,
    revision: view.revision,
    viewAgeMs: computeAgeMs(view.freshAt, now),
    tables: tables.sort((a, b) => compareText(a.service, b.service)),
  };
}
