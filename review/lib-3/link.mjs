/**
 * A proxy on loopback between a host and the store. Its open connections can
 * fall silent for good while new ones work.
 */

import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/** Starts a proxy to a port. */
export async function startLink(targetPort) {
  const relays = new Set();

  const pass = (relay, from, to) => {
    from.on('data', chunk => {
      if (!relay.isSilent && !to.destroyed) {
        to.write(chunk);
      }
    });
    from.on('end', () => {
      if (!relay.isSilent) {
        to.end();
      }
    });
    from.on('error', () => {
      if (!relay.isSilent) {
        to.destroy();
      }
    });
    from.on('close', () => relays.delete(relay));
  };

  const server = createServer({allowHalfOpen: true}, near => {
    const far = connect({
      host: '127.0.0.1',
      port: targetPort,
      noDelay: true,
      allowHalfOpen: true,
    });
    near.setNoDelay(true);
    const relay = {near, far, isSilent: false};
    relays.add(relay);
    pass(relay, near, far);
    pass(relay, far, near);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Silences the open connections; returns their number. */
    silence: () => {
      relays.forEach(relay => {
        relay.isSilent = true;
      });
      return relays.size;
    },
    close: () => {
      server.close();
      relays.forEach(({near, far}) => {
        near.destroy();
        far.destroy();
      });
    },
  };
}
