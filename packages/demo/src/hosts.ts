/** What the entry hosts of the demo say of themselves. */

import {LINKS, formatHostPort} from '@lacewingroad/standins';
import type {Site} from '@lacewingroad/standins';
import {mergeTimeline} from '@lacewingroad/telemetry';
import type {TimelineEvent} from '@lacewingroad/telemetry';

/** Reads by the role of the endpoint that served them. */
export interface ReadsByRole {
  readonly replica: number;
  readonly primary: number;
}

async function askHost(
  site: Site,
  host: string,
  path: string,
): Promise<string> {
  const address = formatHostPort(site.proxied(LINKS.operator(host)));
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
  const wanted = Object.entries(labels).map(
    ([key, value]) => `${key}="${value}"`,
  );
  return text
    .split('\n')
    .filter(line => line.startsWith(`${name}{`))
    .filter(line => wanted.every(label => line.includes(label)))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}

/** Counts the reads of all hosts by role. */
export async function readReadsByRole(site: Site): Promise<ReadsByRole> {
  const texts = await Promise.all(
    site.plan.entries.map(({id}) => askHost(site, id, '/metrics')),
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

/** Returns the events of all hosts as one time line. */
export async function readTimeline(
  site: Site,
): Promise<readonly TimelineEvent[]> {
  const answers = await Promise.all(
    site.plan.entries.map(({id}) => askHost(site, id, '/events?after=0')),
  );
  const events = answers.flatMap(
    answer =>
      (JSON.parse(answer) as {readonly events: readonly TimelineEvent[]})
        .events,
  );
  return mergeTimeline(events);
}
