import { cp, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { FileStore } from '../../state/file-store.js';
import type { StoredPartition } from '../../state/store.js';
import { TEST_DATA } from './golden.js';

/** Reads a data folder of the golden files from a temporary copy; throws if any of its files is damaged. */
export async function readStoredFolder(folder: string): Promise<readonly StoredPartition[]> {
  const path = await mkdtemp(join(tmpdir(), 'stored-folder-'));
  try {
    await cp(join(TEST_DATA, 'stored', folder, 'parts'), path, { recursive: true });
    const store = new FileStore(path, (fault) => {
      throw fault;
    });
    return await store.readAll();
  } finally {
    await rm(path, { recursive: true });
  }
}
