/** Settings of one entry host, as the daemon uses them. */

/** Levels of the log, least severe first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;

/** A level of the log. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Ports on which an entry host listens; all on its own address. */
export interface ListenSettings {
  readonly caller: number;
  readonly peer: number;
  readonly operator: number;
}

/** A user as which callers log in. */
export interface UserSettings {
  readonly name: string;
  /** SHA1(SHA1(password)) in 40 lower-case hexadecimal digits. */
  readonly passwordSha1: string;
  /** Services that the user may use; `*` stands for all. */
  readonly services: readonly string[];
}

/** A host to ask for the configuration while the platform is away. */
export interface SeedSettings {
  readonly host: string;
  readonly dataCentre: string;
  /** `IP:PORT` of its peer listener. */
  readonly peerAddress: string;
}

/** Everything that an entry host learns from its settings file. */
export interface Settings {
  readonly host: string;
  readonly dataCentre: string;
  /** IP address to listen on and to bind outgoing connections to. */
  readonly address: string;
  readonly listen: ListenSettings;
  readonly platform: {readonly url: string};
  /** Login of this host at every endpoint. */
  readonly endpoints: {readonly user: string; readonly password: string};
  readonly users: readonly UserSettings[];
  /** Other hosts to ask at a start during an outage of the platform. */
  readonly seeds: readonly SeedSettings[];
  readonly log: {
    readonly level: LogLevel;
    /** Lines a second of each kind of event; 0 for no limit. */
    readonly linesPerSecond: number;
  };
  /** Time that a graceful shutdown may take, in seconds. */
  readonly drainSeconds: number;
}
