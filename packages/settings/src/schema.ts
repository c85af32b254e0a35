/** The shape of a settings file; each message says what is allowed. */

import {isIP} from 'node:net';
import {z} from 'zod';
import {LOG_LEVELS} from './settings.js';

/** Time that a graceful shutdown may take unless the file says it, seconds. */
const DEFAULT_DRAIN_SECONDS = 30;
/** Longest time that a graceful shutdown may take, in seconds. */
const MAX_DRAIN_SECONDS = 3_600;

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$/;
const SHA1_PATTERN = /^[0-9a-f]{40}$/;
const PLATFORM_URL_PATTERN = /^http:\/\/(?:\[([0-9a-f:]+)\]|([\d.]+)):\d+\/?$/i;

const NAME_ALLOWED =
  'a name of 1 to 64 letters, digits, "_", "." or "-" that begins with a letter or digit';
const PORT_ALLOWED = 'a port number from 1 to 65535';
const TEXT_ALLOWED = 'a text that is not empty';
const URL_ALLOWED =
  'the URL of the platform with an IP address, http://IP:PORT';

/** Builds an object schema that refuses unknown keys and names the known. */
function strict<T extends z.ZodRawShape>(shape: T) {
  const allowed = `a mapping with only the keys ${Object.keys(shape).join(', ')}`;
  return z.strictObject(shape, {error: allowed});
}

/** Tells whether a text is an http URL with a numeric address. */
function isPlatformUrl(text: string): boolean {
  const match = PLATFORM_URL_PATTERN.exec(text);
  return match !== null && isIP(match[1] ?? match[2] ?? '') !== 0;
}

/** Tells whether a text is a numeric address and a port. */
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
const SERVICES_ALLOWED =
  "a list of service names that is not empty, or ['*'] for all";
const service = z
  .string(SERVICES_ALLOWED)
  .refine(value => value === '*' || NAME_PATTERN.test(value), SERVICES_ALLOWED);

const user = strict({
  name: text,
  password_sha1: z.string(SHA1_ALLOWED).regex(SHA1_PATTERN, SHA1_ALLOWED),
  services: z.array(service, SERVICES_ALLOWED).min(1, SERVICES_ALLOWED),
});

const SEEDS_ALLOWED = 'a list of hosts, which may be empty';
const PEER_ALLOWED = 'the peer listener of that host, IP:PORT';
const seed = strict({
  host: name,
  data_centre: name,
  peer: z.string(PEER_ALLOWED).refine(isIpAndPort, PEER_ALLOWED),
});

const DRAIN_ALLOWED = `seconds, from 0 to ${MAX_DRAIN_SECONDS}`;
/** Lines a second of one kind of event unless the file says it. */
const DEFAULT_LINES_PER_SECOND = 100;
/** Most lines a second of one kind of event that the file may allow. */
const MAX_LINES_PER_SECOND = 100_000;

const LINES_ALLOWED = `lines a second of each kind of event, from 1 to ${MAX_LINES_PER_SECOND}, or 0 for no limit`;
const LEVEL_ALLOWED = `one of ${LOG_LEVELS.join(', ')}`;
const USERS_ALLOWED = 'a list of users that is not empty';
const PASSWORD_ALLOWED = 'a text, which may be empty';

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

/** A settings file that has passed the checks. */
export type SettingsFile = z.infer<typeof SETTINGS_SCHEMA>;
