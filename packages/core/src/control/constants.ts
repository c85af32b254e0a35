/** Timing and size constants of the control plane; times in milliseconds. */

/** Interval of a host's regular `sync` requests, sent to its relays in turn. */
export const SYNC_INTERVAL_MS = 500;

/** Minimum time between a `sync` request and one sent ahead of schedule. */
export const SYNC_MIN_INTERVAL_MS = 50;

/** Time without a `sync` request after which the process counts as paused. */
export const PAUSE_MS = 2_000;

/** Maximum wait for a view that is newer than a pause of the process. */
export const RESUME_WAIT_MS = 3_000;

/** Number of relays of a data centre. */
export const RELAY_COUNT = 2;

/** Interval of a relay's reads of the platform. */
export const PLATFORM_READ_INTERVAL_MS = 500;

/** Timeout of a platform call. */
export const PLATFORM_TIMEOUT_MS = 3_000;

/**
 * Age of a view that shows an outage of the platform: the time of four failed
 * reads of a relay.
 */
export const PLATFORM_OUTAGE_MS = 4 * PLATFORM_READ_INTERVAL_MS;

/**
 * Time that hosts have to register with the platform again after its outage:
 * the two seconds that the platform specifies, and one read interval to learn
 * of the end of the outage.
 */
export const HOST_RETURN_MS = 2_000 + PLATFORM_READ_INTERVAL_MS;

/** Time without `sync` requests after which a relay stops its reads. */
export const RELAY_IDLE_MS = 5_000;

/**
 * Time without a `sync` request after which a relay reports a host as silent.
 * A relay expects one every two intervals, so two in a row are missing.
 */
export const HOST_SILENT_MS = 2_300;

/** Time for which a host counts as unreachable unless it sends a message. */
export const UNREACHABLE_MS = 1_500;

/** Resolution at which the time of the last message from a host is stored. */
export const LAST_CONTACT_RESOLUTION_MS = 100;

/**
 * Time for which evidence allows a write owner to acknowledge writes. Evidence
 * is like a lease: it proves that the primary has not been replaced.
 */
export const EVIDENCE_MS = 3_000;

/** Allowance for clock drift between hosts over EVIDENCE_MS. */
const DRIFT_MARGIN_MS = 300;

/** Time after which all evidence obtained before an instant has expired. */
export const EVIDENCE_LAPSE_MS = EVIDENCE_MS + DRIFT_MARGIN_MS;

/** Age of the view from which a write owner requests promises of promoters. */
export const STALE_VIEW_MS = 1_250;

/** Minimum time between two rounds of promise requests for a group. */
export const PROMISE_INTERVAL_MS = 600;

/** Interval of the review of pool ownership. */
export const OWNERSHIP_INTERVAL_MS = 250;

/** Time for which another host must be the better owner before it takes over. */
export const REBALANCE_AFTER_MS = 10_000;

/** Minimum time between two attempts to register an owner. */
export const REGISTER_INTERVAL_MS = 500;

/** Delay before an update with unknown result is sent again. */
export const UPDATE_RETRY_MS = 500;

/**
 * Interval of the probes of an owned primary, and of an owned replica that
 * lags, fails or does not follow the primary.
 */
export const PROBE_INTERVAL_MS = 250;

/** Interval at which the owners of replicas probe the primary. */
export const PRIMARY_PROBE_INTERVAL_MS = 500;

/**
 * Interval of the probes of an owned replica that keeps up. Reads that need a
 * newer status request an immediate probe.
 */
export const REPLICA_PROBE_INTERVAL_MS = 1_000;

/** Data age from which a replica counts as lagging and is probed more often. */
export const LAGGING_REPLICA_MS = 500;

/** Timeout of a probe. */
export const PROBE_TIMEOUT_MS = 700;

/** Time without a successful probe after which a primary is suspected. */
export const SUSPECT_AFTER_MS = 1_000;

/** Consecutive refused connections after which a primary is suspected at once. */
export const SUSPECT_REFUSALS = 2;

/** Minimum time between two rounds of an inquiry about a suspected primary. */
export const INQUIRY_INTERVAL_MS = 400;

/** Time after which a round is decided without the missing answers. */
export const INQUIRY_TIMEOUT_MS = 350;

/** Time for which a change of primary waits for the final reports. */
export const FINAL_REPORTS_TIMEOUT_MS = 900;

/** Time for which a `suspect` query is kept while its probes run. */
export const SUSPECT_QUERY_VALID_MS = 2_000;

/** Maximum age of a probe that answers a `suspect` query without a new one. */
export const FRESH_STATUS_MS = 800;

/** Time for which promoters let a reachable write owner act first. */
export const WRITE_OWNER_HEAD_START_MS = 1_500;

/**
 * Time after which a write owner changes a primary that only it cannot reach.
 */
export const ISOLATED_OWNER_WAIT_MS = 4_000;

/** Interval of the review of the groups of owned endpoints. */
export const FAILOVER_REVIEW_MS = 50;

/** Delay between consecutive promoters, so that usually one raises a fence. */
export const PROMOTER_STAGGER_MS = 300;

/** Maximum age of a report that counts in the choice of a primary. */
export const FRESH_REPORT_MS = 1_500;

/** Maximum number of term starts that a group object keeps. */
export const MAX_TERM_STARTS = 64;

/**
 * Time after which other hosts take over a change of primary that the author of
 * the fence has not finished.
 */
export const FENCE_ABANDONED_MS = EVIDENCE_LAPSE_MS + 2_000;

/** Maximum time for running writes to finish when a planned change starts. */
export const PLANNED_DRAIN_MS = 1_000;

/** Timeout of a planned change. */
export const PLANNED_TIMEOUT_MS = 5_000;

/** Time for a command to take effect before another one is sent. */
export const COMMAND_SETTLE_MS = 1_000;

/** Delay before a refused or lost command is sent again. */
export const COMMAND_RETRY_MS = 200;

/** Timeout of an administrative command to an endpoint. */
export const COMMAND_TIMEOUT_MS = 2_000;
