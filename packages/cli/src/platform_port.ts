/** Implements the platform port with the client of @lacewingroad/platform. */

import {PlatformClient, toUpdateResult} from '@lacewingroad/platform';
import type {PlatformReadError} from '@lacewingroad/platform';
import type {Runtime} from '@lacewingroad/runtime';
import type {CliError} from './cli_error.js';
import type {PlatformPort} from './ports.js';

/** Timeout of a request to the platform, in milliseconds. */
const PLATFORM_TIMEOUT_MS = 5_000;

/** Creates a client of the object API at a URL like `http://10.0.0.5:7000`. */
export function createPlatformPort(
  runtime: Runtime,
  url: string,
): PlatformPort {
  const client = new PlatformClient({runtime, url});
  const getDeadline = () => runtime.now() + PLATFORM_TIMEOUT_MS;
  return {
    getObject: async key =>
      (await client.getObject(key, getDeadline())).mapErr(toCliError),
    listObjects: async prefix => {
      const listed = await client.listObjects(0, getDeadline());
      return listed
        .map(list =>
          list.changes.filter(
            object => object.key.startsWith(prefix) && object.value !== null,
          ),
        )
        .mapErr(toCliError);
    },
    putObject: async (key, baseVersion, value) => {
      const res = await client.putObject(
        key,
        baseVersion,
        value,
        getDeadline(),
      );
      return toUpdateResult(res);
    },
    close: () => client.close(),
  };
}

function toCliError(err: PlatformReadError): CliError {
  return {
    kind: 'unreachable',
    message:
      `${err.message} If the platform is unavailable, ask an entry host ` +
      'instead with --host IP:PORT.',
  };
}
