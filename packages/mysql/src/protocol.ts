/** Constants of the MySQL protocol that mysql2 does not export. */

/** Command bytes of the callers' packets. */
export const Command = {
  QUIT: 0x01,
  INIT_DB: 0x02,
  QUERY: 0x03,
  PING: 0x0e,
  CHANGE_USER: 0x11,
  STMT_PREPARE: 0x16,
  STMT_EXECUTE: 0x17,
  STMT_SEND_LONG_DATA: 0x18,
  STMT_CLOSE: 0x19,
  STMT_RESET: 0x1a,
  RESET_CONNECTION: 0x1f,
} as const;

/** Capability flags in the greeting to callers. */
export const SERVER_CAPABILITIES =
  0x1 | // long password
  0x2 | // found rows
  0x4 | // long flag
  0x8 | // connect with database
  0x200 | // protocol 4.1
  0x2000 | // transactions
  0x8000 | // secure connection
  0x20000 | // multiple results
  0x80000 | // plugin authentication
  0x100000 | // connection attributes
  0x200000; // length-encoded authentication data

/** Capability flags of a caller that determine the format of its packets. */
export const ClientFlag = {
  PLUGIN_AUTH: 0x80000,
  CONNECT_ATTRS: 0x100000,
} as const;

/** Server status flags. */
export const ServerStatus = {
  IN_TRANS: 0x0001,
  AUTOCOMMIT: 0x0002,
} as const;

/** Flag of a column of unsigned integers. */
export const UNSIGNED_COLUMN_FLAG = 0x20;
/** Flag of a column of integers that are zero-padded to the display width. */
export const ZEROFILL_COLUMN_FLAG = 0x40;
/** Id of the collation utf8mb4_general_ci. */
export const UTF8MB4_CHARSET = 45;
/** Id of the collation `binary`: bytes without a character set. */
export const BINARY_CHARSET = 63;
/** The value of `decimals` in a column without a fixed scale. */
export const NOT_FIXED_DECIMALS = 31;

/** Column type codes. */
export const ColumnType = {
  DECIMAL: 0x00,
  TINY: 0x01,
  SHORT: 0x02,
  LONG: 0x03,
  FLOAT: 0x04,
  DOUBLE: 0x05,
  NULL: 0x06,
  TIMESTAMP: 0x07,
  LONGLONG: 0x08,
  INT24: 0x09,
  DATE: 0x0a,
  TIME: 0x0b,
  DATETIME: 0x0c,
  YEAR: 0x0d,
  VARCHAR: 0x0f,
  BIT: 0x10,
  JSON: 0xf5,
  NEWDECIMAL: 0xf6,
  TINY_BLOB: 0xf9,
  MEDIUM_BLOB: 0xfa,
  LONG_BLOB: 0xfb,
  BLOB: 0xfc,
  VAR_STRING: 0xfd,
  STRING: 0xfe,
  GEOMETRY: 0xff,
} as const;

/** Width of the integer types in the binary protocol, in bytes. */
export const INTEGER_WIDTHS: ReadonlyMap<number, 1 | 2 | 4 | 8> = new Map([
  [ColumnType.TINY, 1],
  [ColumnType.SHORT, 2],
  [ColumnType.YEAR, 2],
  [ColumnType.LONG, 4],
  [ColumnType.INT24, 4],
  [ColumnType.LONGLONG, 8],
] as const);

/** Errors that the caller adapter itself sends. */
export const SqlErrors = {
  tooManyCallers: {
    errno: 1040,
    sqlState: '08004',
    message: 'Too many connections; connect to another entry host.',
  },
  accessDenied: {
    errno: 1045,
    sqlState: '28000',
    message: 'Access denied; check the user name and the password.',
  },
  unknownCommand: {
    errno: 1047,
    sqlState: '08S01',
    message: 'Unknown command; send statements as text or prepared.',
  },
  badHandshake: {
    errno: 1043,
    sqlState: '08S01',
    message: 'Bad handshake; connect with a MySQL 4.1 or later client.',
  },
  packetTooLarge: {
    errno: 1153,
    sqlState: '08S01',
    message: 'Packet too large; send less than 16 MiB at once.',
  },
  malformedPacket: {
    errno: 1835,
    sqlState: 'HY000',
    message: 'Malformed packet; check the client library.',
  },
  unknownStatement: {
    errno: 1243,
    sqlState: 'HY000',
    message: 'Unknown prepared statement; prepare it again.',
  },
  tooManyStatements: {
    errno: 1461,
    sqlState: '42000',
    message: 'Too many prepared statements; close those no longer used.',
  },
  notUtf8: {
    errno: 1300,
    sqlState: 'HY000',
    message:
      "The statement is not UTF-8; send binary values as parameters or as X'..'.",
  },
  tooManyPlaceholders: {
    errno: 1390,
    sqlState: 'HY000',
    message: 'Too many placeholders; prepare a statement with fewer.',
  },
  notEncodable: {
    errno: 1815,
    sqlState: 'HY000',
    message:
      'A value does not fit the type of its column; send the statement as text.',
  },
} as const;
