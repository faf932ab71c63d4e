/*
 * Forces the failures that Linux documents in one process, for tests.
 *
 * Loaded with LD_PRELOAD. It reads a control block that the test maps as well (the file named by
 * ONYXPASS_FAULTS; the layout is that of control.py), so that faults begin and end while the process runs.
 * Without that variable every call is passed to the C library unchanged.
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

enum call { ACCEPT = 1, CONNECT, SOCKET, RECEIVE, SEND, WAIT, WRITE, SYNC, RENAME, CALL_END };

#define MAX_RULES 32
#define SHORT_TRANSFER (-1) /* in place of an errno: the call transfers one byte */

struct rule {
    uint32_t call;
    int32_t error;
    uint32_t per_thousand;
    _Atomic int32_t remaining; /* faults that are still to be forced; negative: unlimited */
};

struct block {
    int64_t wall_offset_ns;
    int64_t send_delay_ns;
    uint64_t seed;
    _Atomic uint64_t draws;
    _Atomic uint64_t forced[CALL_END];
    struct rule rules[MAX_RULES];
};

static struct block *block;

__attribute__((constructor)) static void map_block(void) {
    const char *path = getenv("ONYXPASS_FAULTS");
    if (path == NULL) return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapped = mmap(NULL, sizeof(struct block), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) block = mapped;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

/* splitmix64: the same seed and order of calls give the same faults. */
static uint64_t next_random(void) {
    uint64_t z = block->seed + 0x9e3779b97f4a7c15ULL * (1 + atomic_fetch_add(&block->draws, 1));
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/* Returns the errno or SHORT_TRANSFER to force on this call, or 0 for none. */
static int forced_error(enum call call) {
    if (block == NULL) return 0;
    for (int i = 0; i < MAX_RULES; i++) {
        struct rule *rule = &block->rules[i];
        if (rule->call != call) continue;
        int32_t remaining = atomic_load(&rule->remaining);
        if (remaining == 0 || next_random() % 1000 >= rule->per_thousand) continue;
        if (remaining > 0 && atomic_fetch_sub(&rule->remaining, 1) <= 0) {
            atomic_store(&rule->remaining, 0);
            continue;
        }
        atomic_fetch_add(&block->forced[call], 1);
        return rule->error;
    }
    return 0;
}

static int is_network_socket(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    int saved_errno = errno;
    int succeeded = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = saved_errno;
    return succeeded && (domain == AF_INET || domain == AF_INET6);
}

static int is_regular_file(int fd) {
    struct stat status;
    int saved_errno = errno;
    int is_regular = fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
    errno = saved_errno;
    return is_regular;
}

static void delay_send(void) {
    if (block == NULL || block->send_delay_ns <= 0) return;
    struct timespec delay = {block->send_delay_ns / 1000000000, block->send_delay_ns % 1000000000};
    int saved_errno = errno;
    nanosleep(&delay, NULL);
    errno = saved_errno;
}

/* Sockets */

int socket(int domain, int type, int protocol) {
    REAL(socket);
    int error = domain == AF_INET || domain == AF_INET6 ? forced_error(SOCKET) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
    REAL(connect);
    int error = is_network_socket(fd) ? forced_error(CONNECT) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, to, size);
}

int accept4(int fd, struct sockaddr *from, socklen_t *size, int flags) {
    REAL(accept4);
    int error = forced_error(ACCEPT);
    if (error > 0) { errno = error; return -1; }
    return real(fd, from, size, flags);
}

int accept(int fd, struct sockaddr *from, socklen_t *size) { return accept4(fd, from, size, 0); }

ssize_t recv(int fd, void *into, size_t capacity, int flags) {
    REAL(recv);
    int error = is_network_socket(fd) ? forced_error(RECEIVE) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, into, error == SHORT_TRANSFER && capacity > 1 ? 1 : capacity, flags);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
    REAL(send);
    int network = is_network_socket(fd);
    if (network) delay_send();
    int error = network ? forced_error(SEND) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, from, error == SHORT_TRANSFER && size > 1 ? 1 : size, flags);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    int network = is_network_socket(fd);
    if (network) delay_send();
    int error = network ? forced_error(SEND) : 0;
    if (error > 0) { errno = error; return -1; }
    if (error == SHORT_TRANSFER && message->msg_iovlen > 0 && message->msg_iov[0].iov_len > 1)
        return send(fd, message->msg_iov[0].iov_base, 1, flags);
    return real(fd, message, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int capacity, int timeout) {
    REAL(epoll_wait);
    int error = forced_error(WAIT);
    if (error > 0) { errno = error; return -1; }
    return real(fd, events, capacity, timeout);
}

/* Files */

ssize_t write(int fd, const void *from, size_t size) {
    REAL(write);
    int error = is_regular_file(fd) ? forced_error(WRITE) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, from, error == SHORT_TRANSFER && size > 1 ? 1 : size);
}

ssize_t pwrite64(int fd, const void *from, size_t size, off64_t offset) {
    REAL(pwrite64);
    int error = is_regular_file(fd) ? forced_error(WRITE) : 0;
    if (error > 0) { errno = error; return -1; }
    return real(fd, from, size, offset);
}

ssize_t pwrite(int fd, const void *from, size_t size, off_t offset) { return pwrite64(fd, from, size, offset); }

int fsync(int fd) {
    REAL(fsync);
    int error = forced_error(SYNC);
    if (error > 0) { errno = error; return -1; }
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    int error = forced_error(SYNC);
    if (error > 0) { errno = error; return -1; }
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    int error = forced_error(RENAME);
    if (error > 0) { errno = error; return -1; }
    return real(from, to);
}

/* The wall clock; the monotonic clock is unaffected */

static void add_wall_offset(struct timespec *time) {
    if (block == NULL || block->wall_offset_ns == 0) return;
    int64_t wall_ns = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + block->wall_offset_ns;
    time->tv_sec = wall_ns / 1000000000;
    time->tv_nsec = wall_ns % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *into) {
    REAL(clock_gettime);
    int result = real(clock, into);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) add_wall_offset(into);
    return result;
}

int gettimeofday(struct timeval *restrict into, void *restrict zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    into->tv_sec = now.tv_sec;
    into->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *into) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (into != NULL) *into = now.tv_sec;
    return now.tv_sec;
}
