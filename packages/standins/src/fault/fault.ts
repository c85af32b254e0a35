/** Fault-injecting TCP proxy through which all links of a test site run. */

import {connect, createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import type {Runtime} from '@lacewingroad/runtime';
import {formatHostPort, listen, parseHostPort, startControl} from '../http.js';
import type {HostPort} from '../http.js';
import type {Standin} from '../platform/platform.js';
import {createPipe} from './pipe.js';
import type {Pipe} from './pipe.js';
import {checkRules, evaluateRules} from './rules.js';
import type {ConnectionFaults, FaultRule} from './rules.js';

/** A proxied link: a listening address and its target. */
export interface FaultLink {
  readonly name: string;
  /** `IP:PORT` that the proxy listens on; port 0 picks a free one. */
  readonly listen: string;
  /** `IP:PORT` that connections are forwarded to. */
  readonly target: string;
}

/** Settings of a fault proxy. */
export interface FaultConfig {
  readonly control: HostPort;
  readonly links?: readonly FaultLink[];
}

interface OpenLink {
  readonly link: FaultLink;
  readonly server: Server;
  readonly address: HostPort;
}

type Direction = 'up' | 'down';

/** One proxied connection. */
interface Flow {
  readonly link: string;
  readonly source: string;
  readonly client: Socket;
  /** Null while the connection is held, i.e. accepted but not yet forwarded. */
  upstream: Socket | null;
  up: Pipe | null;
  down: Pipe | null;
  /**
   * All data is discarded from now on, whatever the rules; set by the `forget`
   * effect.
   */
  isForgotten: boolean;
  /**
   * One side closed with an error or after data was discarded, so the other
   * side must be reset.
   */
  hasFailed: boolean;
  /**
   * Directions in which the stream ended after some of its data was discarded.
   */
  readonly endsAfterDiscard: Set<Direction>;
}

interface LinkCounts {
  accepted: number;
  refused: number;
  bytesUp: number;
  bytesDown: number;
}

/** Starts a fault proxy. */
export async function startFault(
  cfg: FaultConfig,
  runtime: Runtime,
): Promise<Standin> {
  const links = new Map<string, OpenLink>();
  const flows = new Set<Flow>();
  const counts = new Map<string, LinkCounts>();
  let rules: readonly FaultRule[] = [];

  const countsOf = (link: string): LinkCounts => {
    const existing = counts.get(link);
    if (existing !== undefined) {
      return existing;
    }
    const created = {accepted: 0, refused: 0, bytesUp: 0, bytesDown: 0};
    counts.set(link, created);
    return created;
  };

  const faultsOf = (flow: Flow): ConnectionFaults =>
    evaluateRules(rules, flow.source, flow.link);

  const closeFlow = (flow: Flow, method: 'destroy' | 'reset'): void => {
    if (!flows.delete(flow)) {
      return;
    }
    const linkCounts = countsOf(flow.link);
    linkCounts.bytesUp += flow.up?.bytes() ?? 0;
    linkCounts.bytesDown += flow.down?.bytes() ?? 0;
    [flow.client, flow.upstream].forEach(socket =>
      method === 'reset' ? socket?.resetAndDestroy() : socket?.destroy(),
    );
  };

  /**
   * Closes the flow if both sides are closed, or resets it after a failure of
   * one side. While a rule freezes the flow or discards the data of the failed
   * direction, the other side stays open.
   */
  const propagateClose = (flow: Flow): void => {
    const faults = faultsOf(flow);
    const isClientClosed = flow.client.destroyed;
    const isUpstreamClosed = flow.upstream?.destroyed ?? true;
    if (isClientClosed && isUpstreamClosed) {
      closeFlow(flow, 'destroy');
      return;
    }
    if (!flow.hasFailed || flow.isForgotten || faults.isFrozen) {
      return;
    }
    if (isClientClosed ? faults.isSilentUp : faults.isSilentDown) {
      return;
    }
    const isHidden =
      (flow.endsAfterDiscard.has('up') && faults.isSilentUp) ||
      (flow.endsAfterDiscard.has('down') && faults.isSilentDown);
    if (isHidden) {
      return;
    }
    closeFlow(flow, 'reset');
  };

  const connectFlow = (flow: Flow, target: HostPort): void => {
    const upstream = connect({
      ...target,
      // Keeps the source address, so that rules match in chained proxies too.
      localAddress: flow.source,
      allowHalfOpen: true,
      noDelay: true,
    });
    flow.upstream = upstream;
    upstream.on('error', () => upstream.destroy());
    upstream.on('close', hadError => {
      flow.hasFailed ||= hadError;
      propagateClose(flow);
    });
    // A stream with missing data must not end gracefully: the other side gets a
    // reset, once no rule discards the data.
    const onEndAfterDiscard = (direction: Direction): void => {
      flow.endsAfterDiscard.add(direction);
      flow.hasFailed = true;
      propagateClose(flow);
    };
    flow.up = createPipe(
      flow.client,
      upstream,
      () => faultsOf(flow),
      () => flow.isForgotten || faultsOf(flow).isSilentUp,
      () => onEndAfterDiscard('up'),
      runtime,
    );
    flow.down = createPipe(
      upstream,
      flow.client,
      () => faultsOf(flow),
      () => flow.isForgotten || faultsOf(flow).isSilentDown,
      () => onEndAfterDiscard('down'),
      runtime,
    );
  };

  const accept = (link: FaultLink, client: Socket): void => {
    const source = client.remoteAddress ?? '';
    const flow: Flow = {
      link: link.name,
      source,
      client,
      upstream: null,
      up: null,
      down: null,
      isForgotten: false,
      hasFailed: false,
      endsAfterDiscard: new Set(),
    };
    const faults = faultsOf(flow);
    if (faults.isCut) {
      countsOf(link.name).refused += 1;
      client.on('error', () => undefined);
      client.resetAndDestroy();
      return;
    }
    countsOf(link.name).accepted += 1;
    flows.add(flow);
    client.setNoDelay(true);
    client.on('error', () => client.destroy());
    client.on('close', hadError => {
      flow.hasFailed ||= hadError;
      propagateClose(flow);
    });
    if (!faults.isDropped) {
      connectFlow(flow, parseHostPort(link.target));
    }
  };

  const closeLink = (open: OpenLink): void => {
    open.server.close();
    links.delete(open.link.name);
    [...flows]
      .filter(flow => flow.link === open.link.name)
      .forEach(flow => closeFlow(flow, 'destroy'));
  };

  const openLink = async (link: FaultLink): Promise<void> => {
    const server = createServer({allowHalfOpen: true}, client =>
      accept(link, client),
    );
    const address = await listen(server, parseHostPort(link.listen));
    links.set(link.name, {link, server, address});
  };

  const isSameLink = (a: FaultLink, b: FaultLink): boolean =>
    a.name === b.name && a.listen === b.listen && a.target === b.target;

  const setLinks = async (nextLinks: readonly FaultLink[]): Promise<void> => {
    [...links.values()]
      .filter(open => !nextLinks.some(link => isSameLink(link, open.link)))
      .forEach(closeLink);
    for (const link of nextLinks.filter(each => !links.has(each.name))) {
      await openLink(link);
    }
  };

  /** Connects a held flow to its target once no rule drops it. */
  const connectHeldFlow = (flow: Flow, faults: ConnectionFaults): void => {
    const open = links.get(flow.link);
    const isHeld = flow.upstream === null && !flow.client.destroyed;
    if (!isHeld || faults.isDropped || flow.isForgotten || open === undefined) {
      return;
    }
    connectFlow(flow, parseHostPort(open.link.target));
  };

  const applyRules = (next: readonly FaultRule[]): void => {
    rules = checkRules(next);
    [...flows].forEach(flow => {
      const faults = faultsOf(flow);
      if (faults.isCut) {
        closeFlow(flow, 'reset');
        return;
      }
      flow.isForgotten ||= faults.isForgotten;
      connectHeldFlow(flow, faults);
      flow.up?.refresh();
      flow.down?.refresh();
      propagateClose(flow);
    });
  };

  const describeLink = (open: OpenLink): unknown => {
    const linkFlows = [...flows].filter(flow => flow.link === open.link.name);
    const {accepted, refused, bytesUp, bytesDown} = countsOf(open.link.name);
    const sum = (bytes: (flow: Flow) => number): number =>
      linkFlows.reduce((total, flow) => total + bytes(flow), 0);
    return {
      name: open.link.name,
      address: formatHostPort(open.address),
      target: open.link.target,
      accepted,
      refused,
      open: linkFlows.length,
      bytesUp: bytesUp + sum(flow => flow.up?.bytes() ?? 0),
      bytesDown: bytesDown + sum(flow => flow.down?.bytes() ?? 0),
    };
  };

  const describeState = (): unknown => ({
    links: [...links.values()].map(describeLink),
    rules,
  });

  await setLinks(cfg.links ?? []);
  const control = await startControl(cfg.control, {
    'PUT /control/links': async (_req, body) => {
      await setLinks(body as readonly FaultLink[]);
      return {status: 200, body: describeState()};
    },
    'PUT /control/rules': (_req, body) => {
      applyRules(body as readonly FaultRule[]);
      return {status: 200, body: {rules}};
    },
    'GET /control/state': () => ({status: 200, body: describeState()}),
  });

  return {
    address: control.address,
    control: control.address,
    close: async () => {
      [...links.values()].forEach(closeLink);
      await control.close();
    },
  };
}
