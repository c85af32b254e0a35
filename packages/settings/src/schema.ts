/** The schema of a settings file; each message states the allowed values. */

import {isIP} from 'node:net';
import {z} from 'zod';
import {LOG_LEVELS} from './settings.js';

/** Default time limit of a graceful shutdown, in seconds. */
const DEFAULT_DRAIN_SECONDS = 30;
/** Largest configurable time limit of a graceful shutdown, in seconds. */
const MAX_DRAIN_SECONDS = 3_600;

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$/;
const SHA1_PATTERN = /^[0-9a-f]{40}$/;
const PLATFORM_URL_PATTERN = /^http:\/\/(?:\[([0-9a-f:]+)\]|([\d.]+)):\d+\/?$/i;

const NAME_ALLOWED =
  'a name of 1 to 64 letters, digits, "_", "." or "-" that begins with a letter or digit';
const PORT_ALLOWED = 'a port number from 1 to 65535';
const TEXT_ALLOWED = 'a non-empty string';
const URL_ALLOWED =
  'the URL of the platform with an IP address, http://IP:PORT';

/** Builds an object schema that rejects unknown keys and lists the known ones. */
function strict<T extends z.ZodRawShape>(shape: T) {
  const allowed = `a mapping with only the keys ${Object.keys(shape).join(', ')}`;
  return z.strictObject(shape, {error: allowed});
}

/** Reports whether a string is an http URL with an IP address and a port. */
function isPlatformUrl(text: string): boolean {
  const match = PLATFORM_URL_PATTERN.exec(text);
  return match !== null && isIP(match[1] ?? match[2] ?? '') !== 0;
}

/** Reports whether a string is an IP address and a port. */
function isIpAndPort(text: string): boolean {
  return isPlatformUrl(`http://${text}`) && !text.endsWith('/');
}

const name = z.string(NAME_ALLOWED).regex(NAME_PATTERN, NAME_ALLOWED);
const text = z.string(TEXT_ALLOWED).min(1, TEXT_ALLOWED);
const port = z.int(PORT_ALLOWED).min(1, PORT_ALLOWED).max(65_535, PORT_ALLOWED);

const ADDRESS_ALLOWED = 'an IP address';
const address = z
  .string(ADDRESS_ALLOWED)
  .refine(value => isIP(value) !== 0, ADDRESS_ALLOWED);

const SHA1_ALLOWED =
  'SHA1(SHA1(password)) as 40 lower-case hexadecimal digits in quotes';
const SERVICES_ALLOWED = "a non-empty list of service names, or ['*'] for all";
const service = z
  .string(SERVICES_ALLOWED)
  .refine(value => value === '*' || NAME_PATTERN.test(value), SERVICES_ALLOWED);

const user = strict({
  name: text,
  password_sha1: z.string(SHA1_ALLOWED).regex(SHA1_PATTERN, SHA1_ALLOWED),
  services: z.array(service, SERVICES_ALLOWED).min(1, SERVICES_ALLOWED),
});

const SEEDS_ALLOWED = 'a list of hosts (may be empty)';
const PEER_ALLOWED = 'the peer listener of that host, IP:PORT';
const seed = strict({
  host: name,
  data_centre: name,
  peer: z.string(PEER_ALLOWED).refine(isIpAndPort, PEER_ALLOWED),
});

const DRAIN_ALLOWED = `seconds, from 0 to ${MAX_DRAIN_SECONDS}`;
/** Default limit of log lines per second for each kind of event. */
const DEFAULT_LINES_PER_SECOND = 100;
/** Largest configurable limit of log lines per second. */
const MAX_LINES_PER_SECOND = 100_000;

const LINES_ALLOWED = `lines per second for each kind of event, from 1 to ${MAX_LINES_PER_SECOND}, or 0 for no limit`;
const LEVEL_ALLOWED = `one of ${LOG_LEVELS.join(', ')}`;
const USERS_ALLOWED = 'a non-empty list of users';
const PASSWORD_ALLOWED = 'a string (may be empty)';

/** A settings file. */
export const SETTINGS_SCHEMA = strict({
  host: name,
  data_centre: name,
  address,
  listen: strict({caller: port, peer: port, operator: port}),
  platform: strict({
    url: z.string(URL_ALLOWED).refine(isPlatformUrl, URL_ALLOWED),
  }),
  endpoints: strict({user: text, password: z.string(PASSWORD_ALLOWED)}),
  users: z.array(user, USERS_ALLOWED).min(1, USERS_ALLOWED),
  seeds: z.array(seed, SEEDS_ALLOWED).default([]),
  log: strict({
    level: z.enum(LOG_LEVELS, LEVEL_ALLOWED).default('info'),
    lines_per_second: z
      .int(LINES_ALLOWED)
      .min(0, LINES_ALLOWED)
      .max(MAX_LINES_PER_SECOND, LINES_ALLOWED)
      .default(DEFAULT_LINES_PER_SECOND),
  }).default({
    level: 'info',
    lines_per_second: DEFAULT_LINES_PER_SECOND,
  }),
  drain_seconds: z
    .number(DRAIN_ALLOWED)
    .min(0, DRAIN_ALLOWED)
    .max(MAX_DRAIN_SECONDS, DRAIN_ALLOWED)
    .default(DEFAULT_DRAIN_SECONDS),
});

/** A validated settings file. */
export type SettingsFile = z.infer<typeof SETTINGS_SCHEMA>;
