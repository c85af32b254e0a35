/** Timeline events and their encoding as a line of key=value pairs. */

import type {ActionOf, FieldValue} from '@lacewingroad/core';

/** The severity of an event. */
export type EventLevel = ActionOf<'record'>['level'];

/** One event of the timeline. */
export interface TimelineEvent {
  /** Sequence number within one process, from 1. */
  readonly seq: number;
  /** Hybrid logical clock reading, `WALLMS.COUNTER`. */
  readonly stamp: string;
  readonly host: string;
  readonly level: EventLevel;
  readonly event: string;
  readonly fields: Readonly<Record<string, FieldValue>>;
}

const LEVELS: ReadonlySet<string> = new Set(['debug', 'info', 'warn', 'error']);
/** Strings that need no quotes and cannot be parsed as another type. */
const UNQUOTED_PATTERN = /^[A-Za-z_/][^\s"=\\]*$/;
const LITERALS: Readonly<Record<string, FieldValue>> = {
  true: true,
  false: false,
  null: null,
};
const PAIR_PATTERN = /([^\s=]+)=("(?:[^"\\]|\\.)*"|\S*)/g;
const RESERVED_KEY_CHARS = /[\s="]/g;

/** Formats a value for a line. */
function formatValue(value: FieldValue): string {
  if (typeof value !== 'string') {
    return String(value);
  }
  const isPlain =
    UNQUOTED_PATTERN.test(value) && !Object.hasOwn(LITERALS, value);
  return isPlain ? value : JSON.stringify(value);
}

/** Parses a value from a line. */
function parseValue(text: string): FieldValue {
  if (text.startsWith('"')) {
    return parseQuoted(text);
  }
  if (Object.hasOwn(LITERALS, text)) {
    return LITERALS[text] ?? null;
  }
  const number = Number(text);
  return text !== '' && Number.isFinite(number) ? number : text;
}

/** Parses a quoted string; returns a truncated one unchanged. */
function parseQuoted(text: string): FieldValue {
  try {
    return String(JSON.parse(text));
  } catch {
    return text;
  }
}

/** Formats an event as one line of key=value pairs, without a line break. */
export function formatEventLine(event: TimelineEvent): string {
  const pairs: readonly (readonly [string, FieldValue])[] = [
    ['level', event.level],
    ['host', event.host],
    ['seq', event.seq],
    ['event', event.event],
    ...Object.entries(event.fields),
  ];
  const texts = pairs.map(
    ([key, value]) =>
      `${key.replace(RESERVED_KEY_CHARS, '_')}=${formatValue(value)}`,
  );
  return [`stamp=${event.stamp}`, ...texts].join(' ');
}

/** Parses a line written by `formatEventLine`; returns null for other lines. */
export function parseEventLine(line: string): TimelineEvent | null {
  const pairs = [...line.matchAll(PAIR_PATTERN)].map(match => ({
    key: match[1] ?? '',
    text: match[2] ?? '',
  }));
  const [stamp, level, host, seq, event, ...rest] = pairs;
  const isEvent =
    stamp?.key === 'stamp' &&
    level?.key === 'level' &&
    host?.key === 'host' &&
    seq?.key === 'seq' &&
    event?.key === 'event' &&
    LEVELS.has(level.text);
  if (!isEvent) {
    return null;
  }
  return {
    seq: Number(seq.text),
    stamp: stamp.text,
    host: String(parseValue(host.text)),
    level: level.text as EventLevel,
    event: String(parseValue(event.text)),
    fields: Object.fromEntries(
      rest.map(({key, text}) => [key, parseValue(text)]),
    ),
  };
}
