/** Settings of one entry host. */

/** Log levels, least severe first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** A log level. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Ports on which an entry host listens, all at its own address. */
export interface ListenSettings {
  readonly caller: number;
  readonly peer: number;
  readonly operator: number;
}

/** A user account for callers. */
export interface UserSettings {
  readonly name: string;
  /** SHA1(SHA1(password)) as 40 lower-case hexadecimal digits. */
  readonly passwordSha1: string;
  /** Services that the user may use; `*` means all. */
  readonly services: readonly string[];
}

/** A host that supplies the configuration while the platform is unavailable. */
export interface SeedSettings {
  readonly host: string;
  readonly dataCentre: string;
  /** `IP:PORT` of its peer listener. */
  readonly peerAddress: string;
}

/** All settings of an entry host. */
export interface Settings {
  readonly host: string;
  readonly dataCentre: string;
  /** IP address to listen on and to bind outgoing connections to. */
  readonly address: string;
  readonly listen: ListenSettings;
  readonly platform: {readonly url: string};
  /** Credentials with which this host logs in to every endpoint. */
  readonly endpoints: {readonly user: string; readonly password: string};
  readonly users: readonly UserSettings[];
  /** Hosts that supply the configuration if this host starts during a platform outage. */
  readonly seeds: readonly SeedSettings[];
  readonly log: {
    readonly level: LogLevel;
    /** Log lines per second for each kind of event; 0 for no limit. */
    readonly linesPerSecond: number;
  };
  /** Time limit of a graceful shutdown, in seconds. */
  readonly drainSeconds: number;
}
