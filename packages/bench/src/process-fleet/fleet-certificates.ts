/** Issues the certificates of a fleet under test, in files that its processes read. */
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
const VALIDITY_DAYS = 30;

/** A certificate authority and the folder with the certificates it has issued. */
export class FleetCertificates {
  private readonly folder: string;
  private readonly authority: CertificateWithKey;

  private constructor(folder: string, authority: CertificateWithKey) {
    this.folder = folder;
    this.authority = authority;
    this.writePair('ca', authority);
  }

  static async create(folder: string): Promise<FleetCertificates> {
    return new FleetCertificates(
      folder,
      await createCertificateAuthority('bench', createValidityPeriod(VALIDITY_DAYS * DAY_MS)),
    );
  }

  /** Writes the certificate and key of a process; replaces earlier ones of the same file name. */
  async issue(
    identity: CertificateIdentity,
    validity = createValidityPeriod(VALIDITY_DAYS * DAY_MS),
    file = identity.host,
    authority = this.authority,
  ): Promise<void> {
    this.writePair(file, await issueCertificate(authority, identity, validity));
  }

  /** The `[trust]` settings of a process whose certificate files have this name. */
  trustSettings(file: string) {
    return {
      mode: 'mutual',
      ca: this.filePath('ca.pem'),
      certificate: this.filePath(`${file}.pem`),
      key: this.filePath(`${file}-key.pem`),
    };
  }

  private writePair(file: string, { certificate, key }: CertificateWithKey): void {
    this.replaceFile(`${file}-key.pem`, key);
    this.replaceFile(`${file}.pem`, certificate);
  }

  /** Replaces a file by a rename, so that a process never reads half of it. */
  private replaceFile(name: string, text: string): void {
    writeFileSync(this.filePath(`${name}.new`), text);
    renameSync(this.filePath(`${name}.new`), this.filePath(name));
  }

  private filePath(name: string): string {
    return join(this.folder, name);
  }
}
