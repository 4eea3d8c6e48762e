/**
 * TLS credentials of a process, loaded from files and reloaded when the files change. New links use the
 * new credentials, open links are not affected. If the files cannot be read or do not match each other,
 * the last valid credentials stay in use.
 */
import { createPrivateKey, X509Certificate } from 'node:crypto';
import { readFile, stat } from 'node:fs/promises';
import { createSecureContext } from 'node:tls';
import { describeError, Metric } from '@poplarpick/kernel';
import type { Clock, Logger, Metrics, Timer } from '@poplarpick/kernel';

/** Period at which the files are checked for changes. */
const POLL_PERIOD_MS = 1_000;

/** Interval between two warnings about a certificate that expires soon or has expired. */
const EXPIRY_WARNING_PERIOD_MS = 3_600_000;

const DAY_MS = 86_400_000;

/** Paths of the files: certificate authority, certificate and private key, in PEM. */
export interface TlsCredentialPaths {
  ca: string;
  certificate: string;
  key: string;
}

/** Contents of the files. */
export interface TlsCredentials {
  ca: Buffer;
  cert: Buffer;
  key: Buffer;
  /** Expiry of the certificate, in milliseconds since the Unix epoch. */
  expiresAt: number;
}

/** Options of a `TlsCredentialFiles`. */
export interface TlsCredentialFilesOptions {
  paths: TlsCredentialPaths;
  /** Number of days before the expiry of the certificate from which on warnings are logged. */
  warningDays: number;
  clock: Clock;
  log: Logger;
  metrics: Metrics;
}

type ChangeListener = (credentials: TlsCredentials) => void;

/** Provides the credentials in use and reloads them. */
export class TlsCredentialFiles {
  private readonly options: TlsCredentialFilesOptions;
  private readonly listeners: ChangeListener[] = [];
  private readonly timer: Timer;
  private credentials: TlsCredentials;
  private loadedVersions: string;
  private warnedAt = -Infinity;

  private constructor(
    options: TlsCredentialFilesOptions,
    credentials: TlsCredentials,
    loadedVersions: string,
  ) {
    this.options = options;
    this.credentials = credentials;
    this.loadedVersions = loadedVersions;
    this.timer = options.clock.every(POLL_PERIOD_MS, () => void this.reloadIfChanged());
    this.reportExpiry();
  }

  /** Loads the files. Rejects if they cannot be read or do not match each other. */
  static async open(options: TlsCredentialFilesOptions): Promise<TlsCredentialFiles> {
    const versions = await readFileVersions(options.paths);
    return new TlsCredentialFiles(options, await readCredentials(options.paths), versions);
  }

  get current(): TlsCredentials {
    return this.credentials;
  }

  /** Adds a listener that is called after the credentials were reloaded. */
  onChange(listener: ChangeListener): void {
    this.listeners.push(listener);
  }

  stop(): void {
    this.timer.stop();
  }

  private async reloadIfChanged(): Promise<void> {
    const { paths, log } = this.options;
    try {
      const versions = await readFileVersions(paths);
      if (versions !== this.loadedVersions) await this.reload(versions);
    } catch (error) {
      log.error({ event: 'trust.keys_refused', error: describeError(error) });
    }
    this.reportExpiry();
  }

  private async reload(versions: string): Promise<void> {
    this.loadedVersions = versions;
    this.credentials = await readCredentials(this.options.paths);
    this.warnedAt = -Infinity;
    const ends = new Date(this.credentials.expiresAt).toISOString();
    this.options.log.info({ event: 'trust.keys_loaded', ends });
    for (const listener of this.listeners) listener(this.credentials);
  }

  private reportExpiry(): void {
    const { clock, log, metrics, warningDays } = this.options;
    const daysLeft = (this.credentials.expiresAt - clock.now()) / DAY_MS;
    metrics.gauge(Metric.CertificateDaysLeft, daysLeft);
    if (daysLeft > warningDays || clock.monotonic() < this.warnedAt + EXPIRY_WARNING_PERIOD_MS)
      return;
    this.warnedAt = clock.monotonic();
    const event = daysLeft > 0 ? 'trust.certificate_expiring' : 'trust.certificate_expired';
    log.warn({ event, days_left: daysLeft.toFixed(2) });
  }
}

/** Returns a string that changes when one of the files is written or replaced. */
async function readFileVersions(paths: TlsCredentialPaths): Promise<string> {
  const stats = await Promise.all(
    [paths.ca, paths.certificate, paths.key].map((path) => stat(path)),
  );
  return stats.map(({ mtimeMs, size, ino }) => `${mtimeMs} ${size} ${ino}`).join();
}

async function readCredentials(paths: TlsCredentialPaths): Promise<TlsCredentials> {
  const [ca, cert, key] = await Promise.all([
    readFile(paths.ca),
    readFile(paths.certificate),
    readFile(paths.key),
  ]);
  const certificate = new X509Certificate(cert);
  if (!certificate.checkPrivateKey(createPrivateKey(key)))
    throw new Error(`${paths.key} is not the key of ${paths.certificate}`);
  createSecureContext({ ca, cert, key });
  return { ca, cert, key, expiresAt: Date.parse(certificate.validTo) };
}
