/** Reads metrics and events from the entry hosts of the demo. */

import {LINKS, formatHostPort} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {mergeTimeline} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';

/** Number of reads by the role of the endpoint that served them. */
export interface ReadsByRole {
  readonly replica: number;
  readonly primary: number;
}

async function fetchFromHost(
  site: Site,
  host: string,
  path: string,
): Promise<string> {
  const address = formatHostPort(site.proxyAddress(LINKS.operator(host)));
  const res = await fetch(`http://${address}${path}`, {
    headers: {connection: 'close'},
  });
  return res.text();
}

/** Returns the sum of a counter's samples whose labels match. */
export function sumSamples(
  text: string,
  name: string,
  labels: Readonly<Record<string, string>>,
): number {
  const labelTexts = Object.entries(labels).map(
    ([key, value]) => `${key}="${value}"`,
  );
  return text
    .split('\n')
    .filter(line => line.startsWith(`${name}{`))
    .filter(line => labelTexts.every(label => line.includes(label)))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

/** Sums the reads of all hosts by endpoint role. */
export async function fetchReadsByRole(site: Site): Promise<ReadsByRole> {
  const texts = await Promise.all(
    site.plan.entries.map(({id}) => fetchFromHost(site, id, '/metrics')),
  );
  const sum = (role: string): number =>
    texts.reduce(
      (total, text) =>
        total +
        sumSamples(text, 'lacewingroad_requests_by_role_total', {
          access: 'read',
          endpoint_role: role,
        }),
      0,
    );
  return {replica: sum('replica'), primary: sum('primary')};
}

/** Returns the events of all hosts, merged into one timeline. */
export async function fetchTimeline(
  site: Site,
): Promise<readonly TimelineEvent[]> {
  const bodies = await Promise.all(
    site.plan.entries.map(({id}) => fetchFromHost(site, id, '/events?after=0')),
  );
  const events = bodies.flatMap(
    body =>
      (JSON.parse(body) as {readonly events: readonly TimelineEvent[]}).events,
  );
  return mergeTimeline(events);
}
