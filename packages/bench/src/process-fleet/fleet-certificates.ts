/** Certificates of the processes of a fleet under test, in files that the processes read. */
import { renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import {
  createCertificateAuthority,
  issueCertificate,
  createValidityPeriod,
} from '@poplarpick/cli/keys/certificate-authority';
import type { CertificateWithKey } from '@poplarpick/cli/keys/certificate-authority';
import type { CertificateIdentity } from '@poplarpick/decisions';

const DAY_MS = 86_400_000;
const VALID_DAYS = 30;

/** An authority and the files of its certificates. */
export class FleetCertificates {
  private readonly folder: string;
  private readonly authority: CertificateWithKey;

  private constructor(folder: string, authority: CertificateWithKey) {
    this.folder = folder;
    this.authority = authority;
    this.write('ca', authority);
  }

  static async create(folder: string): Promise<FleetCertificates> {
    return new FleetCertificates(
      folder,
      await createCertificateAuthority('bench', createValidityPeriod(VALID_DAYS * DAY_MS)),
    );
  }

  /** Writes a certificate for a process, in the place of an earlier one for the same file. */
  async issue(
    identity: CertificateIdentity,
    validity = createValidityPeriod(VALID_DAYS * DAY_MS),
    file = identity.host,
    authority = this.authority,
  ): Promise<void> {
    this.write(file, await issueCertificate(authority, identity, validity));
  }

  /** The `[trust]` table of a process whose files have this name. */
  trustSettings(file: string) {
    return {
      mode: 'mutual',
      ca: this.path('ca.pem'),
      certificate: this.path(`${file}.pem`),
      key: this.path(`${file}-key.pem`),
    };
  }

  private write(file: string, { certificate, key }: CertificateWithKey): void {
    this.replace(`${file}-key.pem`, key);
    this.replace(`${file}.pem`, certificate);
  }

  private replace(name: string, text: string): void {
    writeFileSync(this.path(`${name}.new`), text);
    renameSync(this.path(`${name}.new`), this.path(name));
  }

  private path(name: string): string {
    return join(this.folder, name);
  }
}
