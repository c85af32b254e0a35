/** Decodes UTF-8 strictly. */

const decoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});

/** Returns the text of `bytes`, or null when they are not valid UTF-8. */
export function decodeUtf8(bytes: Uint8Array): string | null {
  try {
    return decoder.decode(bytes);
  } catch {
    return null;
  }
}
