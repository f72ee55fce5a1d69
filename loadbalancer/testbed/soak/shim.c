/* Preloaded into a balancer under soak: steps its wall clock, and lets its system calls fail now and then.
 * What it does stands in a file that the soak maps: offset of the wall clock, and the chance, of 65,536, that a
 * call fails. Only calls on TCP sockets are touched. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct control {
    int64_t offset_ns;
    uint32_t accept, connect, transfer, wait;
};

static volatile struct control *control;
static uint32_t state = 2463534242u;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("SOAK_SHIM");
    int number = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (number < 0) return;
    void *found = mmap(0, sizeof(struct control), PROT_READ, MAP_SHARED, number, 0);
    close(number);
    if (found != MAP_FAILED) control = found;
    state ^= (uint32_t)getpid() * 2654435761u;
}

static uint32_t chance(void) {
    state ^= state << 13;
    state ^= state >> 17;
    state ^= state << 5;
    return state & 0xffff;
}

static int hits(uint32_t part) { return part && chance() < part; }

static int is_tcp(int number) {
    int kind = 0, domain = 0;
    socklen_t size = sizeof kind;
    if (getsockopt(number, SOL_SOCKET, SO_TYPE, &kind, &size) || kind != SOCK_STREAM) return 0;
    size = sizeof domain;
    return !getsockopt(number, SOL_SOCKET, SO_DOMAIN, &domain, &size) && domain == AF_INET;
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int done = real(clock, now);
    if (!done && clock == CLOCK_REALTIME && control) {
        int64_t ns = now->tv_sec * 1000000000ll + now->tv_nsec + control->offset_ns;
        now->tv_sec = ns / 1000000000ll;
        now->tv_nsec = ns % 1000000000ll;
    }
    return done;
}

int accept4(int number, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR, EPROTO, ENETDOWN};
    if (control && hits(control->accept)) {
        errno = errors[chance() % 6];
        return -1;
    }
    return real(number, address, size, flags);
}

int connect(int number, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    static const int errors[] = {EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, ENOMEM, ETIMEDOUT, EHOSTUNREACH};
    if (control && hits(control->connect) && is_tcp(number)) {
        errno = errors[chance() % 6];
        return -1;
    }
    return real(number, address, size);
}

static size_t shortened(int number, size_t size) {
    return control && size > 1 && hits(control->transfer) && is_tcp(number) ? 1 + chance() % (size - 1) : size;
}

ssize_t read(int number, void *data, size_t size) {
    REAL(read);
    return real(number, data, shortened(number, size));
}

ssize_t write(int number, const void *data, size_t size) {
    REAL(write);
    return real(number, data, shortened(number, size));
}

ssize_t writev(int number, const struct iovec *parts, int count) {
    REAL(writev);
    if (count > 0 && parts[0].iov_len > 1 && shortened(number, parts[0].iov_len) < parts[0].iov_len)
        return write(number, parts[0].iov_base, parts[0].iov_len);
    return real(number, parts, count);
}

int epoll_wait(int number, struct epoll_event *events, int most, int milliseconds) {
    REAL(epoll_wait);
    if (control && hits(control->wait)) {
        errno = EINTR;
        return -1;
    }
    return real(number, events, most, milliseconds);
}

int epoll_pwait(int number, struct epoll_event *events, int most, int milliseconds, const sigset_t *signals) {
    REAL(epoll_pwait);
    if (control && hits(control->wait)) {
        errno = EINTR;
        return -1;
    }
    return real(number, events, most, milliseconds, signals);
}
