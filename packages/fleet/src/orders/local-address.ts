/** Detection of addresses that only the same host or network segment can reach. */
import { BlockList, isIPv4 } from 'node:net';

const LOOPBACK_PREFIX_BITS = 8;
const LINK_LOCAL_PREFIX_BITS = 16;

const localAddresses = new BlockList();
localAddresses.addSubnet('127.0.0.0', LOOPBACK_PREFIX_BITS);
localAddresses.addSubnet('169.254.0.0', LINK_LOCAL_PREFIX_BITS);

/** Whether the host of a URL is a loopback or link-local address. */
export function isLocalUrl(url: string): boolean {
  const { hostname } = new URL(url);
  return isIPv4(hostname) && localAddresses.check(hostname);
}
