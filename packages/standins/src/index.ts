/**
 * Stand-ins (test doubles) for the platform and endpoints, a fault proxy, and a
 * harness for test sites.
 */

export {startEndpoint} from './endpoint/endpoint.js';
export type {EndpointConfig, EndpointSwitches} from './endpoint/endpoint.js';
export type {FollowTarget, RequestKeyRuns} from './endpoint/ledger.js';
export {startFault} from './fault/fault.js';
export type {FaultConfig, FaultLink} from './fault/fault.js';
export type {FaultEffect, FaultRule} from './fault/rules.js';
export {formatHostPort, parseHostPort} from './http.js';
export type {HostPort} from './http.js';
export {startPlatform} from './platform/platform.js';
export type {
  PlatformConfig,
  PlatformSwitches,
  Standin,
} from './platform/platform.js';
export {
  createEndpointControl,
  createFaultControl,
  createPlatformControl,
} from './harness/control_client.js';
export type {
  EndpointControl,
  EndpointState,
  FaultControl,
  LinkState,
  PlatformControl,
} from './harness/control_client.js';
export {CALLER_ACCOUNT, formatEntrySettings} from './harness/entry_settings.js';
export {openMysql} from './harness/mysql_client.js';
export type {ClientOptions} from './harness/mysql_client.js';
export type {
  ExitStatus,
  ProcessSet,
  TestSignal,
} from './harness/process_set.js';
export {FAULT_PROCESS, PLATFORM_PROCESS, launchSite} from './harness/site.js';
export type {Site} from './harness/site.js';
export {LINKS} from './harness/site_plan.js';
export type {
  EndpointPlan,
  EntryPlan,
  ServicePlan,
  SiteOptions,
  SitePlan,
} from './harness/site_plan.js';
