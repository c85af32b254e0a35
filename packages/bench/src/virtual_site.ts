/** Builds the fake site of an experiment and injects its faults. */

import {createEntryEngine} from '@lacewingroad/core';
import type {
  DataCentreId,
  EndpointId,
  GroupId,
  HostObject,
} from '@lacewingroad/core';
import {createFakeSite} from '@lacewingroad/fakes';
import type {FakeSite} from '@lacewingroad/fakes';
import {POLICIES_BY_BASELINE} from './baselines.js';
import {listHostIds} from './experiment.js';
import type {Baseline, Experiment, FaultSpec, SiteSpec} from './experiment.js';

/** Lock wait timeout of the fake endpoints, in milliseconds. */
const LOCK_WAIT_MS = 1_000;
const PLATFORM = 'platform';

/** Lists the seeds of each host, which let it start in a platform outage. */
function listSeeds(site: SiteSpec): readonly HostObject[] {
  return site.dataCentres.flatMap(centre =>
    listHostIds(centre).map(id => ({
      id,
      dataCentre: centre.id,
      state: 'live',
      peerAddress: `${id}:1`,
      callerAddress: `${id}:2`,
      operatorAddress: `${id}:3`,
    })),
  );
}

/** Starts the site of an experiment under virtual time. */
export function buildSite(
  exp: Experiment,
  baseline: Baseline,
  seed: number,
): FakeSite {
  const {site} = exp;
  const centres = site.dataCentres.map(({id}) => id);
  const policies = POLICIES_BY_BASELINE[baseline];
  return createFakeSite({
    seed,
    dataCentres: centres,
    entriesPerDataCentre: Object.fromEntries(
      site.dataCentres.map(({id, hosts}) => [id, hosts]),
    ),
    groups: site.groups.map((id, first) => ({
      id,
      endpoints: Array.from(
        {length: site.endpointsPerGroup},
        (_, index) => centres[(first + index) % centres.length]!,
      ),
    })),
    tables: exp.tables,
    delays: {
      localMs: site.delayMs.within,
      remoteMs: site.delayMs.between,
      jitterMs: 0,
    },
    pairDelays: centres.map(id => [id, PLATFORM, site.delayMs.platform]),
    endpoints: {
      slots: site.slots,
      maxConnections: site.connections,
      connectMs: site.connectMs,
      serviceMs: () => site.serviceMs,
      lagMs: site.lagMs,
      lockWaitMs: LOCK_WAIT_MS,
    },
    createEngine: cfg =>
      createEntryEngine({...cfg, ...policies, seeds: listSeeds(site)}),
  });
}

/** Injects a fault; returns a function that ends it. */
type InjectFault = (site: FakeSite, target: string) => () => void;

const noop = (): void => undefined;

function findPrimary(site: FakeSite, group: GroupId): EndpointId {
  return site.readGroup(group).primary;
}

/** Holds traffic between `scope` and `others`; returns a function to end it. */
function silenceTraffic(
  site: FakeSite,
  scope: string,
  others: readonly string[],
): () => void {
  const set = (state: 'silent' | 'up'): void =>
    others.forEach(other => {
      site.network.setPath(scope, other, state);
      site.network.setPath(other, scope, state);
    });
  set('silent');
  return () => set('up');
}

/** Lists the other data centres that have entry hosts. */
function listOtherCentres(
  site: FakeSite,
  centre: DataCentreId,
): readonly DataCentreId[] {
  const hostDataCentres = [...site.hosts.values()].map(({node}) => node.zone);
  return [...new Set(hostDataCentres)].filter(zone => zone !== centre);
}

const INJECTORS: Readonly<Record<FaultSpec['effect'], InjectFault>> = {
  kill_primary: (site, group) => {
    const endpoint = site.endpoints.get(findPrimary(site, group))!;
    endpoint.kill();
    return () => endpoint.restart();
  },
  freeze_primary: (site, group) => {
    const endpoint = site.endpoints.get(findPrimary(site, group))!;
    endpoint.freeze();
    return () => endpoint.unfreeze();
  },
  cut_primary: (site, group) =>
    silenceTraffic(site, findPrimary(site, group), ['*']),
  change_primary: (site, group) => {
    const running = [...site.hosts.values()];
    const host = running.find(({process}) => !process.isDead());
    host?.push({type: 'operator_failover', ask: 1, group, to: null});
    return noop;
  },
  platform_down: site => {
    site.platform.faults.mode = 'down';
    return () => {
      site.platform.faults.mode = 'up';
    };
  },
  kill_host: (site, host) => {
    site.killHost(host);
    return () => {
      site.restartHost(host);
    };
  },
  cut_data_centre: (site, centre) =>
    silenceTraffic(site, centre, [...listOtherCentres(site, centre), PLATFORM]),
  silence_connections: (site, group) => {
    site
      .readGroup(group)
      .endpoints.forEach(({id}) => site.network.silenceOpen(id, '*'));
    return noop;
  },
  silence_links: (site, centre) => {
    listOtherCentres(site, centre).forEach(other =>
      site.network.silenceOpen(centre, other),
    );
    return noop;
  },
  kill_host_of_primary: (site, group) => {
    const {owners, primary} = site.readGroup(group);
    const host = owners[primary];
    if (host === undefined) {
      return noop;
    }
    site.killHost(host);
    return () => {
      site.restartHost(host);
    };
  },
};

/** Schedules all faults; their times count from `startMs`. */
export function scheduleFaults(
  site: FakeSite,
  faults: readonly FaultSpec[],
  startMs: number,
): void {
  const {runtime} = site;
  for (const {effect, target, atS, untilS} of faults) {
    runtime.at(startMs + atS * 1_000, () => {
      const end = INJECTORS[effect](site, target);
      if (untilS !== undefined) {
        runtime.at(startMs + untilS * 1_000, end);
      }
    });
  }
}
