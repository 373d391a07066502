/* Unpacks the program that is appended to this file, once, and executes it in this process.
 *
 * The file is: this launcher, a ustar archive, and a trailer of TRAILER_BYTES: MAGIC, the digest of
 * the archive as hexadecimal text, and the archive's offset as 16 hexadecimal digits. The archive
 * is unpacked to BASE/persimmondock-DIGEST, where BASE is the environment variable
 * PERSIMMONDOCK_UNPACK or /tmp. The folder is renamed into place once it is complete, so that a
 * folder with that name can be used without a check of its contents.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "PERSDOCK"
#define MAGIC_BYTES 8
#define DIGEST_DIGITS 32
#define OFFSET_DIGITS 16
#define TRAILER_BYTES (MAGIC_BYTES + DIGEST_DIGITS + OFFSET_DIGITS)
#define BLOCK_BYTES 512
#define EXIT_UNUSABLE 3
#define MAX_OPEN_FOLDERS 16

static void fail(const char *what, const char *name)
{
    fprintf(stderr, "persimmondock: %s %s: %s\n", what, name, strerror(errno));
    exit(EXIT_UNUSABLE);
}

static void join_path(char *path, const char *folder, const char *name)
{
    if (snprintf(path, PATH_MAX, "%s/%s", folder, name) >= PATH_MAX) {
        errno = ENAMETOOLONG;
        fail("cannot use", name);
    }
}

static void read_fully(FILE *file, void *buffer, size_t size)
{
    if (fread(buffer, 1, size, file) != size) {
        errno = errno ? errno : EIO;
        fail("cannot read", "the archive");
    }
}

static int remove_entry(const char *path, const struct stat *status, int kind, struct FTW *walk)
{
    (void)status, (void)kind, (void)walk;
    return remove(path);
}

static void make_parents(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash != NULL; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail("cannot create", path);
        *slash = '/';
    }
}

static void unpack_file(FILE *archive, const char *path, size_t size, mode_t mode)
{
    static char block[64 * 1024];
    int file = open(path, O_WRONLY | O_CREAT | O_EXCL, mode & 0755);
    if (file < 0)
        fail("cannot create", path);
    for (size_t remaining = size; remaining > 0;) {
        size_t chunk = remaining < sizeof block ? remaining : sizeof block;
        read_fully(archive, block, chunk);
        if (write(file, block, chunk) != (ssize_t)chunk)
            fail("cannot write", path);
        remaining -= chunk;
    }
    if (close(file) != 0)
        fail("cannot write", path);
    fseek(archive, (long)((BLOCK_BYTES - size % BLOCK_BYTES) % BLOCK_BYTES), SEEK_CUR);
}

/* Unpacks the next entry. Returns 0 at the end of the archive, else 1.
 *
 * Offsets of the fields in a ustar header: name 0, mode 100, size 124, type 156, link target 157,
 * prefix of the name 345. Type '5' is a folder, '2' a symbolic link.
 */
static int unpack_entry(FILE *archive, const char *folder)
{
    char header[BLOCK_BYTES], name[PATH_MAX], path[PATH_MAX], target[101] = "";
    read_fully(archive, header, sizeof header);
    if (header[0] == '\0')
        return 0;
    if (header[345] != '\0')
        snprintf(name, sizeof name, "%.155s/%.100s", header + 345, header);
    else
        snprintf(name, sizeof name, "%.100s", header);
    if (name[0] == '/' || strstr(name, "..") != NULL) {
        errno = EINVAL;
        fail("cannot unpack", name);
    }
    join_path(path, folder, name);
    make_parents(path);
    mode_t mode = (mode_t)strtoul(header + 100, NULL, 8);
    size_t size = strtoul(header + 124, NULL, 8);
    memcpy(target, header + 157, 100);
    switch (header[156]) {
    case '5':
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail("cannot create", path);
        break;
    case '2':
        if (symlink(target, path) != 0)
            fail("cannot create", path);
        break;
    default:
        unpack_file(archive, path, size, mode);
    }
    return 1;
}

static void unpack(FILE *archive, long offset, const char *folder)
{
    char partial[PATH_MAX];
    if (snprintf(partial, sizeof partial, "%s.%ld", folder, (long)getpid()) >= PATH_MAX)
        fail("cannot use", folder);
    if (mkdir(partial, 0700) != 0)
        fail("cannot create", partial);
    fseek(archive, offset, SEEK_SET);
    while (unpack_entry(archive, partial))
        ;
    if (rename(partial, folder) == 0)
        return;
    /* The folder exists if another process has unpacked the archive in the meantime. */
    if (errno != EEXIST && errno != ENOTEMPTY)
        fail("cannot rename", partial);
    nftw(partial, remove_entry, MAX_OPEN_FOLDERS, FTW_DEPTH | FTW_PHYS);
}

/* Returns whether the folder exists. Exits if another user may have written to it. */
static int is_unpacked(const char *folder)
{
    struct stat status;
    if (lstat(folder, &status) != 0)
        return 0;
    if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid() || (status.st_mode & 022)) {
        errno = EPERM;
        fail("will not use", folder);
    }
    return 1;
}

int main(int argc, char **argv)
{
    char trailer[TRAILER_BYTES + 1] = "", folder[PATH_MAX], program[PATH_MAX];
    char name[sizeof "persimmondock-" + DIGEST_DIGITS];
    const char *base = getenv("PERSIMMONDOCK_UNPACK");
    FILE *archive = fopen("/proc/self/exe", "rbe");
    (void)argc;
    if (archive == NULL)
        fail("cannot open", "/proc/self/exe");
    fseek(archive, -TRAILER_BYTES, SEEK_END);
    read_fully(archive, trailer, TRAILER_BYTES);
    if (memcmp(trailer, MAGIC, MAGIC_BYTES) != 0) {
        errno = ENOEXEC;
        fail("cannot find", "the archive");
    }
    snprintf(name, sizeof name, "persimmondock-%.32s", trailer + MAGIC_BYTES);
    join_path(folder, base != NULL && base[0] != '\0' ? base : "/tmp", name);
    if (!is_unpacked(folder))
        unpack(archive, strtol(trailer + MAGIC_BYTES + DIGEST_DIGITS, NULL, 16), folder);
    fclose(archive);
    join_path(program, folder, "persimmondock");
    execv(program, argv);
    fail("cannot execute", program);
}
