/*
 * Injects failures into the system calls of one process, with the errors that Linux documents for each call. The library
 * is preloaded (LD_PRELOAD) into the process under test and reads its plan from environment variables:
 *
 *   SYSCALL_FAULTS       rules and settings, separated by ';'. Defaults are in parentheses.
 *     CALL=ERROR|ERROR@SHARE   makes the call fail with one of the errors, drawn from the seed, in this share (0 to 1) of
 *                              its uses (1)
 *     clock=MILLISECONDS       sets the wall clock ahead by this time (back, if negative) within the windows
 *     seed=N                   the seed of all draws (1)
 *     from=MS                  the time from the start of the process until the first window opens (0)
 *     for=MS                   the length of a window (500)
 *     every=MS                 the time from the start of one window to the start of the next; 0 opens only one (3000)
 *     most=N                   the highest number of faults in the life of the process (no limit)
 *     armed=FILE               injects no faults while this file does not exist
 *     path=TEXT                makes opens and renames fail only if their path contains this text
 *   SYSCALL_FAULTS_LOG   a file to which each injected fault is appended: milliseconds, call, error, descriptor
 *
 * Calls: socket, bind, listen, accept, connect, epoll_wait; read, write (on sockets, with all their variants); wakeup_read,
 * wakeup_write (on an eventfd); open_read, open_write, file_write, fsync, rename (on files). The error SHORT makes a read or
 * a write transfer one byte only.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_ERRORS 8
#define SHORT_COUNT (-1)
#define NANOS_PER_SECOND 1000000000LL
#define NANOS_PER_MILLI 1000000LL

enum call {
    CALL_SOCKET, CALL_BIND, CALL_LISTEN, CALL_ACCEPT, CALL_CONNECT, CALL_EPOLL_WAIT, CALL_READ, CALL_WRITE, CALL_WAKEUP_READ, CALL_WAKEUP_WRITE,
    CALL_OPEN_READ, CALL_OPEN_WRITE, CALL_FILE_WRITE, CALL_FSYNC, CALL_RENAME, CALLS
};

static const char *const CALL_NAMES[CALLS] = {
    "socket", "bind", "listen", "accept", "connect", "epoll_wait", "read", "write", "wakeup_read", "wakeup_write",
    "open_read", "open_write", "file_write", "fsync", "rename"
};

struct error_name {
    const char *name;
    int value;
};

static const struct error_name ERROR_NAMES[] = {
    {"SHORT", SHORT_COUNT}, {"EINTR", EINTR}, {"EAGAIN", EAGAIN}, {"EMFILE", EMFILE}, {"ENFILE", ENFILE},
    {"ENOBUFS", ENOBUFS}, {"ENOMEM", ENOMEM}, {"ETIMEDOUT", ETIMEDOUT}, {"EHOSTUNREACH", EHOSTUNREACH},
    {"ENETUNREACH", ENETUNREACH}, {"ECONNRESET", ECONNRESET}, {"ECONNREFUSED", ECONNREFUSED},
    {"ECONNABORTED", ECONNABORTED}, {"EADDRNOTAVAIL", EADDRNOTAVAIL}, {"EADDRINUSE", EADDRINUSE}, {"EPIPE", EPIPE},
    {"EPROTO", EPROTO}, {"EPERM", EPERM}, {"ENOSPC", ENOSPC}, {"EIO", EIO}, {"EDQUOT", EDQUOT},
};

struct rule {
    int errors[MAX_ERRORS];
    int error_count;
    double share;
    atomic_ulong uses;
};

static struct rule rules[CALLS];
static uint64_t seed = 1;
static int64_t from_ns;
static int64_t window_ns = 500 * NANOS_PER_MILLI;
static int64_t period_ns = 3000 * NANOS_PER_MILLI;
static int64_t clock_ahead_ns;
static int64_t started_ns;
static long most_faults = -1;
static atomic_long faults;
static const char *armed_file;
static const char *path_part;
static int log_fd = -1;
static atomic_int ready;

static int (*real_socket)(int, int, int);
static int (*real_bind)(int, const struct sockaddr *, socklen_t);
static int (*real_listen)(int, int);
static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static int (*real_epoll_wait)(int, struct epoll_event *, int, int);
static ssize_t (*real_read)(int, void *, size_t);
static ssize_t (*real_readv)(int, const struct iovec *, int);
static ssize_t (*real_recv)(int, void *, size_t, int);
static ssize_t (*real_write)(int, const void *, size_t);
static ssize_t (*real_writev)(int, const struct iovec *, int);
static ssize_t (*real_send)(int, const void *, size_t, int);
static ssize_t (*real_pwrite)(int, const void *, size_t, off_t);
static int (*real_open)(const char *, int, ...);
static int (*real_open64)(const char *, int, ...);
static int (*real_fsync)(int);
static int (*real_fdatasync)(int);
static int (*real_rename)(const char *, const char *);
static int (*real_clock_gettime)(clockid_t, struct timespec *);

static int64_t monotonic_ns(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * NANOS_PER_SECOND + now.tv_nsec;
}

static uint64_t mix(uint64_t value) {
    value += 0x9E3779B97F4A7C15ULL;
    value = (value ^ value >> 30) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ value >> 27) * 0x94D049BB133111EBULL;
    return value ^ value >> 31;
}

static int error_value(const char *name) {
    for (size_t i = 0; i < sizeof ERROR_NAMES / sizeof *ERROR_NAMES; i++) {
        if (strcmp(name, ERROR_NAMES[i].name) == 0) {
            return ERROR_NAMES[i].value;
        }
    }
    fprintf(stderr, "SYSCALL_FAULTS: no such error: %s\n", name);
    _exit(125);
}

static const char *error_name(int value) {
    for (size_t i = 0; i < sizeof ERROR_NAMES / sizeof *ERROR_NAMES; i++) {
        if (ERROR_NAMES[i].value == value) {
            return ERROR_NAMES[i].name;
        }
    }
    return "?";
}

static void read_rule(struct rule *rule, char *text) {
    char *share = strchr(text, '@');
    rule->share = 1;
    if (share != NULL) {
        *share = 0;
        rule->share = strtod(share + 1, NULL);
    }
    char *rest = NULL;
    for (char *name = strtok_r(text, "|", &rest); name != NULL && rule->error_count < MAX_ERRORS;
            name = strtok_r(NULL, "|", &rest)) {
        rule->errors[rule->error_count++] = error_value(name);
    }
}

static void read_setting(const char *name, char *value) {
    int64_t number = strtoll(value, NULL, 10);
    if (strcmp(name, "seed") == 0) {
        seed = (uint64_t) number;
    } else if (strcmp(name, "from") == 0) {
        from_ns = number * NANOS_PER_MILLI;
    } else if (strcmp(name, "for") == 0) {
        window_ns = number * NANOS_PER_MILLI;
    } else if (strcmp(name, "every") == 0) {
        period_ns = number * NANOS_PER_MILLI;
    } else if (strcmp(name, "clock") == 0) {
        clock_ahead_ns = number * NANOS_PER_MILLI;
    } else if (strcmp(name, "most") == 0) {
        most_faults = (long) number;
    } else if (strcmp(name, "armed") == 0) {
        armed_file = strdup(value);
    } else if (strcmp(name, "path") == 0) {
        path_part = strdup(value);
    } else {
        for (int call = 0; call < CALLS; call++) {
            if (strcmp(name, CALL_NAMES[call]) == 0) {
                read_rule(&rules[call], value);
                return;
            }
        }
        fprintf(stderr, "SYSCALL_FAULTS: no such setting or call: %s\n", name);
        _exit(125);
    }
}

static void find_calls(void) {
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_bind = dlsym(RTLD_NEXT, "bind");
    real_listen = dlsym(RTLD_NEXT, "listen");
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_epoll_wait = dlsym(RTLD_NEXT, "epoll_wait");
    real_read = dlsym(RTLD_NEXT, "read");
    real_readv = dlsym(RTLD_NEXT, "readv");
    real_recv = dlsym(RTLD_NEXT, "recv");
    real_write = dlsym(RTLD_NEXT, "write");
    real_writev = dlsym(RTLD_NEXT, "writev");
    real_send = dlsym(RTLD_NEXT, "send");
    real_pwrite = dlsym(RTLD_NEXT, "pwrite64");
    real_open = dlsym(RTLD_NEXT, "open");
    real_open64 = dlsym(RTLD_NEXT, "open64");
    real_fsync = dlsym(RTLD_NEXT, "fsync");
    real_fdatasync = dlsym(RTLD_NEXT, "fdatasync");
    real_rename = dlsym(RTLD_NEXT, "rename");
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
}

__attribute__((constructor)) static void start(void) {
    find_calls();
    started_ns = monotonic_ns();
    const char *plan = getenv("SYSCALL_FAULTS");
    if (plan == NULL) {
        return;
    }
    char *copy = strdup(plan);
    char *rest = NULL;
    for (char *part = strtok_r(copy, ";", &rest); part != NULL; part = strtok_r(NULL, ";", &rest)) {
        char *value = strchr(part, '=');
        if (value == NULL) {
            fprintf(stderr, "SYSCALL_FAULTS: expected NAME=VALUE: %s\n", part);
            _exit(125);
        }
        *value = 0;
        read_setting(part, value + 1);
    }
    free(copy);
    const char *log = getenv("SYSCALL_FAULTS_LOG");
    if (log != NULL) {
        log_fd = real_open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
    atomic_store(&ready, 1);
}

static int is_armed(void) {
    if (armed_file == NULL) {
        return 1;
    }
    int saved = errno;
    int there = access(armed_file, F_OK) == 0;
    errno = saved;
    return there;
}

static int in_window(void) {
    int64_t since = monotonic_ns() - started_ns - from_ns;
    if (since < 0) {
        return 0;
    }
    return period_ns > 0 ? since % period_ns < window_ns : since < window_ns;
}

static void record(enum call call, int error, int fd) {
    if (log_fd < 0) {
        return;
    }
    char line[96];
    int length = snprintf(line, sizeof line, "%.3f %s %s %d\n", (double) (monotonic_ns() - started_ns) / NANOS_PER_MILLI,
            CALL_NAMES[call], error_name(error), fd);
    (void) !real_write(log_fd, line, (size_t) length);
}

/* Returns the error to inject into this use of a call, SHORT_COUNT for a transfer of one byte, or 0 for no fault. */
static int fault(enum call call, int fd) {
    struct rule *rule = &rules[call];
    if (!atomic_load(&ready) || rule->error_count == 0 || !in_window() || !is_armed()) {
        return 0;
    }
    uint64_t draw = mix(seed ^ mix(((uint64_t) call << 48) + atomic_fetch_add(&rule->uses, 1)));
    if ((double) (draw >> 11) / (double) (1ULL << 53) >= rule->share) {
        return 0;
    }
    if (most_faults >= 0 && atomic_fetch_add(&faults, 1) >= most_faults) {
        return 0;
    }
    int error = rule->errors[mix(draw) % (uint64_t) rule->error_count];
    record(call, error, fd);
    return error;
}

static int is_type(int fd, mode_t type) {
    struct stat status;
    return fstat(fd, &status) == 0 && (status.st_mode & S_IFMT) == type;
}

static int is_wakeup(int fd) {
    char path[40];
    char target[32];
    snprintf(path, sizeof path, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(path, target, sizeof target - 1);
    if (length < 0) {
        return 0;
    }
    target[length] = 0;
    return strstr(target, "eventfd") != NULL;
}

/* Returns the kind of read or write that a transfer on this descriptor is, or CALLS if no rule applies to it. */
static enum call transfer(int fd, enum call on_socket, enum call on_file) {
    enum call on_wakeup = on_socket == CALL_READ ? CALL_WAKEUP_READ : CALL_WAKEUP_WRITE;
    int saved = errno;
    enum call kind = CALLS;
    if (rules[on_socket].error_count > 0 && is_type(fd, S_IFSOCK)) {
        kind = on_socket;
    } else if (on_file < CALLS && rules[on_file].error_count > 0 && is_type(fd, S_IFREG)) {
        kind = on_file;
    } else if (rules[on_wakeup].error_count > 0 && is_wakeup(fd)) {
        kind = on_wakeup;
    }
    errno = saved;
    return kind;
}

static int transfer_fault(int fd, enum call on_socket, enum call on_file) {
    enum call kind = transfer(fd, on_socket, on_file);
    return kind == CALLS ? 0 : fault(kind, fd);
}

#define FAIL_IF(call, fd) do { int error_ = fault(call, fd); if (error_ > 0) { errno = error_; return -1; } } while (0)

int socket(int domain, int type, int protocol) {
    FAIL_IF(CALL_SOCKET, -1);
    return real_socket(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_IF(CALL_BIND, fd);
    return real_bind(fd, address, length);
}

int listen(int fd, int backlog) {
    FAIL_IF(CALL_LISTEN, fd);
    return real_listen(fd, backlog);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    FAIL_IF(CALL_ACCEPT, fd);
    return real_accept(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    FAIL_IF(CALL_ACCEPT, fd);
    return real_accept4(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_IF(CALL_CONNECT, fd);
    return real_connect(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    FAIL_IF(CALL_EPOLL_WAIT, fd);
    return real_epoll_wait(fd, events, most, timeout);
}

#define TRANSFER(fd, on_socket, on_file, as_ever, one_byte) do { \
        int error_ = transfer_fault(fd, on_socket, on_file); \
        if (error_ == SHORT_COUNT) { return one_byte; } \
        if (error_ > 0) { errno = error_; return -1; } \
        return as_ever; \
    } while (0)

ssize_t read(int fd, void *into, size_t count) {
    TRANSFER(fd, CALL_READ, CALLS, real_read(fd, into, count), real_read(fd, into, count > 0));
}

ssize_t recv(int fd, void *into, size_t count, int flags) {
    TRANSFER(fd, CALL_READ, CALLS, real_recv(fd, into, count, flags), real_recv(fd, into, count > 0, flags));
}

/* Transfers one byte of the first part that is not empty, and returns what the call returned. */
static ssize_t one_byte_of(int fd, const struct iovec *parts, int count, int writing) {
    for (int i = 0; i < count; i++) {
        if (parts[i].iov_len > 0) {
            return writing ? real_write(fd, parts[i].iov_base, 1) : real_read(fd, parts[i].iov_base, 1);
        }
    }
    return writing ? real_writev(fd, parts, count) : real_readv(fd, parts, count);
}

ssize_t readv(int fd, const struct iovec *parts, int count) {
    TRANSFER(fd, CALL_READ, CALLS, real_readv(fd, parts, count), one_byte_of(fd, parts, count, 0));
}

ssize_t write(int fd, const void *from, size_t count) {
    TRANSFER(fd, CALL_WRITE, CALL_FILE_WRITE, real_write(fd, from, count), real_write(fd, from, count > 0));
}

ssize_t send(int fd, const void *from, size_t count, int flags) {
    TRANSFER(fd, CALL_WRITE, CALLS, real_send(fd, from, count, flags), real_send(fd, from, count > 0, flags));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    TRANSFER(fd, CALL_WRITE, CALL_FILE_WRITE, real_writev(fd, parts, count), one_byte_of(fd, parts, count, 1));
}

ssize_t pwrite64(int fd, const void *from, size_t count, off_t at) {
    TRANSFER(fd, CALL_WRITE, CALL_FILE_WRITE, real_pwrite(fd, from, count, at), real_pwrite(fd, from, count > 0, at));
}

/* Returns the error to inject into opening a file, or 0 for no fault. */
static int open_fault(const char *path, int flags) {
    if (path_part != NULL && strstr(path, path_part) == NULL) {
        return 0;
    }
    int error = fault((flags & O_ACCMODE) == O_RDONLY ? CALL_OPEN_READ : CALL_OPEN_WRITE, -1);
    return error > 0 ? error : 0;
}

#define OPEN_MODE(flags, mode) \
    do { if (((flags) & O_CREAT) != 0 || ((flags) & O_TMPFILE) == O_TMPFILE) { \
        va_list rest_; va_start(rest_, flags); mode = va_arg(rest_, mode_t); va_end(rest_); } } while (0)

int open(const char *path, int flags, ...) {
    mode_t mode = 0;
    OPEN_MODE(flags, mode);
    int error = open_fault(path, flags);
    if (error > 0) {
        errno = error;
        return -1;
    }
    if (real_open == NULL) {
        real_open = dlsym(RTLD_NEXT, "open");
    }
    return real_open(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    mode_t mode = 0;
    OPEN_MODE(flags, mode);
    int error = open_fault(path, flags);
    if (error > 0) {
        errno = error;
        return -1;
    }
    if (real_open64 == NULL) {
        real_open64 = dlsym(RTLD_NEXT, "open64");
    }
    return real_open64(path, flags, mode);
}

int fsync(int fd) {
    FAIL_IF(CALL_FSYNC, fd);
    return real_fsync(fd);
}

int fdatasync(int fd) {
    FAIL_IF(CALL_FSYNC, fd);
    return real_fdatasync(fd);
}

int rename(const char *from, const char *to) {
    if (path_part == NULL || strstr(to, path_part) != NULL) {
        FAIL_IF(CALL_RENAME, -1);
    }
    return real_rename(from, to);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    if (real_clock_gettime == NULL) {
        real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real_clock_gettime(clock, time);
    if (result == 0 && clock_ahead_ns != 0 && clock == CLOCK_REALTIME && atomic_load(&ready) && in_window()) {
        int64_t ns = time->tv_sec * NANOS_PER_SECOND + time->tv_nsec + clock_ahead_ns;
        time->tv_sec = ns / NANOS_PER_SECOND;
        time->tv_nsec = ns % NANOS_PER_SECOND;
    }
    return result;
}
