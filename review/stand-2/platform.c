/*
 * The platform's part in an upgrade: holds the clients' listening socket as descriptor 0 and starts programs that inherit it.
 * Usage: platform PORT. Each line on standard input is a shell command to start; the process id of each is written to standard output.
 * At the end of the input all programs that were started are killed.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

int main(int argc, char **argv) {
    static char line[65536];
    static pid_t started[64];
    int count = 0;
    int on = 1;
    struct sockaddr_in address;
    if (argc != 2) {
        return 2;
    }
    int commands = fcntl(0, F_DUPFD_CLOEXEC, 10);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    memset(&address, 0, sizeof address);
    address.sin_family = AF_INET;
    address.sin_port = htons((unsigned short) atoi(argv[1]));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (commands < 0 || listener < 0 || bind(listener, (struct sockaddr *) &address, sizeof address) != 0
            || listen(listener, 512) != 0 || dup2(listener, 0) != 0) {
        perror("platform");
        return 2;
    }
    if (listener != 0) {
        close(listener);
    }
    signal(SIGCHLD, SIG_IGN);
    FILE *in = fdopen(commands, "r");
    while (in != NULL && count < 64 && fgets(line, sizeof line, in) != NULL) {
        pid_t child = fork();
        if (child == 0) {
            signal(SIGCHLD, SIG_DFL);
            execl("/bin/sh", "sh", "-c", line, (char *) NULL);
            _exit(127);
        }
        started[count++] = child;
        printf("%d\n", (int) child);
        fflush(stdout);
    }
    for (int i = 0; i < count; i++) {
        kill(started[i], SIGKILL);
    }
    return 0;
}
