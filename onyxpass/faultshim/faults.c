/*
 * Forces the failures that Linux documents, in one process of our own, for tests.
 *
 * Loaded with LD_PRELOAD. It reads a control block that the test maps as well (the file named by
 * ONYXPASS_FAULTS; the layout is that of control.py), so that faults begin and end while the process runs.
 * Without that variable every call goes straight to the C library.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT = 1, CONNECT, SOCKET, RECEIVE, SEND, WAIT, WRITE, SYNC, RENAME, CALLS };

#define RULES 32
#define SHORT_TRANSFER (-1) /* in place of an errno: a read or write of one byte */

struct rule {
    uint32_t call;
    int32_t error;
    uint32_t per_thousand;
    _Atomic int32_t left; /* how often it still applies; negative: without end */
};

struct block {
    int64_t wall_offset_ns;
    int64_t send_delay_ns;
    uint64_t seed;
    _Atomic uint64_t draws;
    _Atomic uint64_t forced[CALLS];
    struct rule rules[RULES];
};

static struct block *block;

__attribute__((constructor)) static void map_block(void) {
    const char *path = getenv("ONYXPASS_FAULTS");
    if (path == NULL) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *found = mmap(NULL, sizeof(struct block), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (found != MAP_FAILED) block = found;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

/* splitmix64: the same seed and order of calls draw the same faults */
static uint64_t draw(void) {
    uint64_t z = block->seed + 0x9e3779b97f4a7c15ULL * (1 + atomic_fetch_add(&block->draws, 1));
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/* 0: nothing is forced */
static int forced(enum call call) {
    if (block == NULL) return 0;
    for (int i = 0; i < RULES; i++) {
        struct rule *rule = &block->rules[i];
        if (rule->call != call) continue;
        int32_t left = atomic_load(&rule->left);
        if (left == 0 || draw() % 1000 >= rule->per_thousand) continue;
        if (left > 0 && atomic_fetch_sub(&rule->left, 1) <= 0) {
            atomic_store(&rule->left, 0);
            continue;
        }
        atomic_fetch_add(&block->forced[call], 1);
        return rule->error;
    }
    return 0;
}

static int over_network(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    int saved = errno;
    int found = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = saved;
    return found && (domain == AF_INET || domain == AF_INET6);
}

static int regular(int fd) {
    struct stat told;
    int saved = errno;
    int found = fstat(fd, &told) == 0 && S_ISREG(told.st_mode);
    errno = saved;
    return found;
}

static void delay_send(void) {
    if (block == NULL || block->send_delay_ns <= 0) return;
    struct timespec span = {block->send_delay_ns / 1000000000, block->send_delay_ns % 1000000000};
    int saved = errno;
    nanosleep(&span, NULL);
    errno = saved;
}

/* Sockets */

int socket(int domain, int type, int protocol) {
    REAL(socket);
    int error = domain == AF_INET || domain == AF_INET6 ? forced(SOCKET) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    REAL(connect);
    int error = over_network(fd) ? forced(CONNECT) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, to, size);
}

int accept4(int fd, struct sockaddr *from, socklen_t *size, int flags) {
    REAL(accept4);
    int error = forced(ACCEPT);
    if (error > 0) { errno = error; return -1; }
    return real(fd, from, size, flags);
}

int accept(int fd, struct sockaddr *from, socklen_t *size) { return accept4(fd, from, size, 0); }

ssize_t recv(int fd, void *into, size_t most, int flags) {
    REAL(recv);
    int error = over_network(fd) ? forced(RECEIVE) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, into, error == SHORT_TRANSFER && most > 1 ? 1 : most, flags);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    REAL(send);
    int network = over_network(fd);
    if (network) delay_send();
    int error = network ? forced(SEND) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, from, error == SHORT_TRANSFER && size > 1 ? 1 : size, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    int network = over_network(fd);
    if (network) delay_send();
    int error = network ? forced(SEND) : 0;
    if (error > 0) { errno = error; return -1; }
    if (error == SHORT_TRANSFER && message->msg_iovlen > 0 && message->msg_iov[0].iov_len > 1)
        return send(fd, message->msg_iov[0].iov_base, 1, flags);
    return real(fd, message, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    int error = forced(WAIT);
    if (error > 0) { errno = error; return -1; }
    return real(fd, events, most, timeout);
}

/* Files */

ssize_t write(int fd, const void *from, size_t size) {
    REAL(write);
    int error = regular(fd) ? forced(WRITE) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, from, error == SHORT_TRANSFER && size > 1 ? 1 : size);
}

ssize_t pwrite64(int fd, const void *from, size_t size, off64_t at) {
    REAL(pwrite64);
    int error = regular(fd) ? forced(WRITE) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, from, size, at);
}

ssize_t pwrite(int fd, const void *from, size_t size, off_t at) { return pwrite64(fd, from, size, at); }

int fsync(int fd) {
    REAL(fsync);
    int error = forced(SYNC);
    if (error > 0) { errno = error; return -1; }
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    int error = forced(SYNC);
    if (error > 0) { errno = error; return -1; }
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    int error = forced(RENAME);
    if (error > 0) { errno = error; return -1; }
    return real(from, to);
}

/* The wall clock; the monotonic one runs on */

static void step(struct timespec *told) {
    if (block == NULL || block->wall_offset_ns == 0) return;
    int64_t at_ns = (int64_t)told->tv_sec * 1000000000 + told->tv_nsec + block->wall_offset_ns;
    told->tv_sec = at_ns / 1000000000;
    told->tv_nsec = at_ns % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *into) {
    REAL(clock_gettime);
    int found = real(clock, into);
    if (found == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) step(into);
    return found;
}

int gettimeofday(struct timeval *restrict into, void *restrict zone) {
    struct timespec told;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &told);
    into->tv_sec = told.tv_sec;
    into->tv_usec = told.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *into) {
    struct timespec told;
    clock_gettime(CLOCK_REALTIME, &told);
    if (into != NULL) *into = told.tv_sec;
    return told.tv_sec;
}
