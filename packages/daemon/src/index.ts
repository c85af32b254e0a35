/** The entry host: runs the decision engine of the core on real sockets. */

export type {
  CallerPort,
  CallerPortConfig,
  EndpointPort,
  EndpointPortConfig,
  EntryParts,
} from './parts.js';
export type {EndpointEntry, GroupEntry, GroupsPage} from './groups_page.js';
export {buildGroupsPage as readGroupsPage} from './groups_page.js';
export type {HostEntry, HostsPage} from './hosts_page.js';
export {buildHostsPage as readHostsPage} from './hosts_page.js';
export {computeReadiness as readReadiness} from './readiness.js';
export type {Readiness} from './readiness.js';
export type {TableEntry, TablePage} from './table_page.js';
export {buildTablePage as readTablePage} from './table_page.js';
export {EXIT_CODES, runEntry} from './run_entry.js';
export {startEntryHost} from './entry_host.js';
export type {EntryHost, EntryOptions, EntryPorts} from './entry_host.js';
export {createBoardGauges} from './board_gauges.js';
export type {GaugeSource} from './board_gauges.js';
