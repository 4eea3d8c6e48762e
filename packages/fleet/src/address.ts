/** Addresses of the form `IP:port`. */

/** An IP number and a port. */
export interface Address {
  ip: string;
  port: number;
}

/** Splits `IP:port`. Throws where the text has another form. */
export function parseAddress(text: string): Address {
  const separator = text.lastIndexOf(':');
  const port = Number(text.slice(separator + 1));
  if (separator <= 0 || !Number.isInteger(port)) throw new Error(`not an address: ${text}`);
  return { ip: text.slice(0, separator), port };
}
