/* Run the Python interpreter with signals handled from the start.
 *
 * By default SIGHUP, the signal to reload, ends a process, and SIGTERM ends it as a
 * failed one. The interpreter takes milliseconds until it can handle a signal, and
 * longer on a busy host.
 */

#include <dlfcn.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

typedef int interpreter_main(int, char **);

/* A process that has not started holds no request to end. */
static void stop(int number)
{
    (void)number;
    _exit(0);
}

int main(int argc, char **argv)
{
    signal(SIGHUP, SIG_IGN);
    signal(SIGTERM, stop);
    /* Loaded only now: a library that is linked in is loaded before main. */
    void *library = dlopen(PYTHON_LIBRARY, RTLD_NOW | RTLD_GLOBAL);
    interpreter_main *run = NULL;
    if (library != NULL)
        run = (interpreter_main *)dlsym(library, "Py_BytesMain");
    if (run != NULL)
        return run(argc, argv);
    fprintf(stderr, "%s\n", dlerror());
    /* The library has moved since the build. */
    execvp("python3", argv);
    perror("python3");
    return 127;
}
