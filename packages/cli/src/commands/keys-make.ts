/** `poplarpick keys make`: creates a test certificate authority and issues certificates for processes. */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { Args, Command, Flags } from '@oclif/core';
import { Role } from '@poplarpick/kernel';
import { ExitCode } from '../exit-code.ts';
import type { CertificateWithKey } from '../keys/certificate-authority.ts';

const DAY_MS = 86_400_000;
const DEFAULT_DAYS = 30;
const PRIVATE_FILE_MODE = 0o600;

export class KeysMake extends Command {
  static override description =
    'Create a test certificate authority, if the folder has none, and issue certificates for processes.';
  static override strict = false;
  static override args = {
    process: Args.string({ description: 'role and host, such as router:entry-1; may be repeated' }),
  };
  static override flags = {
    fleet: Flags.string({ required: true, description: 'name of the fleet, as in the settings' }),
    folder: Flags.string({ default: 'keys', description: 'folder to which the files are written' }),
    days: Flags.integer({ default: DEFAULT_DAYS, min: 1, description: 'days of validity' }),
  };

  override async run(): Promise<void> {
    const { argv, flags } = await this.parse(KeysMake);
    const identities = argv.map((text) => this.parseProcess(String(text)));
    // Imported on demand, since the certificate library is large and no other command needs it.
    const { createCertificateAuthority, issueCertificate, createValidityPeriod } =
      await import('../keys/certificate-authority.ts');
    const validity = createValidityPeriod(flags.days * DAY_MS);
    mkdirSync(flags.folder, { recursive: true });
    const authority =
      this.readAuthority(flags.folder) ??
      this.writeFiles(
        flags.folder,
        'ca',
        await createCertificateAuthority(`${flags.fleet} authority`, validity),
      );
    for (const { role, host } of identities) {
      const pair = await issueCertificate(authority, { fleet: flags.fleet, role, host }, validity);
      this.writeFiles(flags.folder, host, pair);
    }
  }

  private parseProcess(text: string): { role: Role; host: string } {
    const [name = '', host = ''] = text.split(':');
    const role = Object.values(Role).find((entry) => entry === name);
    if (role === undefined || !/^[\w.-]+$/.test(host) || host === 'ca')
      this.error(`${text}: must be a role and a host, such as router:entry-1`, {
        exit: ExitCode.Usage,
      });
    return { role, host };
  }

  private readAuthority(folder: string): CertificateWithKey | undefined {
    const [certificate, key] = [join(folder, 'ca.pem'), join(folder, 'ca-key.pem')];
    if (!existsSync(certificate) || !existsSync(key)) return undefined;
    return { certificate: readFileSync(certificate, 'utf8'), key: readFileSync(key, 'utf8') };
  }

  private writeFiles(folder: string, name: string, pair: CertificateWithKey): CertificateWithKey {
    const [certificate, key] = [join(folder, `${name}.pem`), join(folder, `${name}-key.pem`)];
    writeFileSync(key, pair.key, { mode: PRIVATE_FILE_MODE });
    writeFileSync(certificate, pair.certificate);
    this.log(`${certificate} ${key}`);
    return pair;
  }
}
