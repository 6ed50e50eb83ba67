#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	KILL_WAIT_MS = 3000, /* limit for a killed process to terminate */
	STOP_WAIT_MS = 3000, /* limit for a process that was sent SIGSTOP to stop */
	MAX_LOG_FILES = 128,
	PATH_BYTES = 256,
	COPY_BUFFER_BYTES = 4096,
	MAX_RESERVED_PORTS = 2048, /* limit for all harnesses of the test program together */
};

/* A fixed array, because the signal handler on_abort() reads it. */
static char log_paths[MAX_LOG_FILES][PATH_BYTES];
static volatile sig_atomic_t log_path_count;

static int reserved_fds[MAX_RESERVED_PORTS];
static int reserved_count;

static void write_stderr(const char *data, size_t length)
{
	while (length > 0) {
		ssize_t count = write(STDERR_FILENO, data, length);

		if (count <= 0)
			return;
		data += count;
		length -= (size_t)count;
	}
}

void harness_print_logs(void)
{
	char buffer[COPY_BUFFER_BYTES];

	for (int i = 0; i < log_path_count; i++) {
		int fd = open(log_paths[i], O_RDONLY | O_CLOEXEC);
		ssize_t count;

		if (fd < 0)
			continue;
		write_stderr("--- ", 4);
		write_stderr(log_paths[i], strlen(log_paths[i]));
		write_stderr("\n", 1);
		while ((count = read(fd, buffer, sizeof(buffer))) > 0)
			write_stderr(buffer, (size_t)count);
		close(fd);
	}
}

/* Handles SIGABRT, raised by a failed assertion, and SIGTRAP, raised by g_error. */
static void on_abort(int signal_number)
{
	harness_print_logs();
	signal(signal_number, SIG_DFL);
	raise(signal_number);
}

struct harness *harness_new(void)
{
	struct harness *harness = g_new0(struct harness, 1);

	harness->directory = g_dir_make_tmp("greengage-XXXXXX", NULL);
	g_assert_nonnull(harness->directory);
	harness->processes = g_ptr_array_new();
	log_path_count = 0;
	signal(SIGABRT, on_abort);
	signal(SIGTRAP, on_abort);
	return harness;
}

/* Runs in the child process before exec. The child must not outlive the test program, however that
 * terminates. */
static void prepare_child(void *context)
{
	sigset_t none;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
}

static void start_process(struct harness *harness, struct harness_process *process)
{
	GSubprocessLauncher *launcher = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	GError *problem = NULL;

	g_subprocess_launcher_set_child_setup(launcher, prepare_child, NULL, NULL);
	g_subprocess_launcher_set_stdout_file_path(launcher, process->stdout_file);
	g_subprocess_launcher_set_stderr_file_path(launcher, process->stderr_file);
	process->child = g_subprocess_launcher_spawnv(launcher, (const char *const *)process->argv,
						      &problem);
	if (!process->child)
		g_error("%s: %s", process->argv[0], problem->message);
	g_object_unref(launcher);
}

/* Gives each run of a process its own output files. */
static void set_output_files(struct harness *harness, struct harness_process *process)
{
	int number = log_path_count;

	g_free(process->stderr_file);
	g_free(process->stdout_file);
	process->stderr_file =
		g_strdup_printf("%s/%d-%s.log", harness->directory, number, process->name);
	process->stdout_file =
		g_strdup_printf("%s/%d-%s.out", harness->directory, number, process->name);
	if (number + 1 >= MAX_LOG_FILES)
		return;
	g_strlcpy(log_paths[number], process->stderr_file, PATH_BYTES);
	g_strlcpy(log_paths[number + 1], process->stdout_file, PATH_BYTES);
	log_path_count = number + 2;
}

struct harness_process *harness_spawn(struct harness *harness, const char *name,
				      const char *const *argv)
{
	struct harness_process *process = g_new0(struct harness_process, 1);

	process->name = g_strdup(name);
	process->argv = g_strdupv((char **)argv);
	set_output_files(harness, process);
	g_ptr_array_add(harness->processes, process);
	start_process(harness, process);
	return process;
}

void harness_restart(struct harness *harness, struct harness_process *process)
{
	g_assert_null(process->child);
	set_output_files(harness, process);
	start_process(harness, process);
}

static int read_listening_port(const struct harness_process *process)
{
	char *text = NULL;
	char *line;
	int port = 0;

	if (!g_file_get_contents(process->stdout_file, &text, NULL, NULL))
		return 0;
	line = g_strrstr(text, "listening ");
	if (line && strchr(line, '\n'))
		port = atoi(line + strlen("listening "));
	g_free(text);
	return port;
}

int harness_wait_listening(const struct harness_process *process)
{
	int port;

	HARNESS_WAIT(HARNESS_START_TIMEOUT_MS, (port = read_listening_port(process)) > 0);
	return port;
}

/* Returns whether the thread whose state is in the file NAME of /proc has been stopped or ended. */
static bool is_thread_stopped(const char *name)
{
	char *text = NULL;
	const char *state;
	bool stopped;

	if (!g_file_get_contents(name, &text, NULL, NULL))
		return true;
	/* The state follows the name of the program, which is in parentheses. */
	state = strrchr(text, ')');
	stopped = state && strchr("TtZX", state[2]);
	g_free(text);
	return stopped;
}

static bool are_threads_stopped(const char *pid)
{
	char *path = g_strdup_printf("/proc/%s/task", pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	bool stopped = true;
	const char *thread;

	while (dir && stopped && (thread = g_dir_read_name(dir))) {
		char *name = g_build_filename(path, thread, "stat", NULL);

		stopped = is_thread_stopped(name);
		g_free(name);
	}
	if (dir)
		g_dir_close(dir);
	g_free(path);
	return stopped;
}

/* Returns whether all threads of the process have stopped, or it has ended. */
static bool is_stopped(const struct harness_process *process)
{
	const char *pid = g_subprocess_get_identifier(process->child);

	return !pid || are_threads_stopped(pid);
}

void harness_signal(struct harness_process *process, int signal_number)
{
	if (!process->child)
		return;
	g_subprocess_send_signal(process->child, signal_number);
	/* The kernel stops the threads one by one; until then they may still answer a request. */
	if (signal_number == SIGSTOP)
		HARNESS_WAIT(STOP_WAIT_MS, is_stopped(process));
}

/* Returns whether the process terminated within LIMIT_MS. Polls, because g_subprocess_wait has no
 * timeout. */
static bool wait_terminated(struct harness_process *process, int64_t limit_ms)
{
	int64_t end_us = g_get_monotonic_time() + limit_ms * 1000;

	/* The identifier is NULL once GLib's worker thread has reaped the child. */
	while (g_subprocess_get_identifier(process->child)) {
		if (g_get_monotonic_time() > end_us)
			return false;
		g_usleep(HARNESS_POLL_US);
	}
	return true;
}

int harness_wait_exit(struct harness_process *process, int64_t limit_ms)
{
	int status = -1;

	if (!wait_terminated(process, limit_ms))
		g_error("%s did not terminate within %d ms", process->name, (int)limit_ms);
	if (g_subprocess_get_if_exited(process->child))
		status = g_subprocess_get_exit_status(process->child);
	g_clear_object(&process->child);
	return status;
}

void harness_kill(struct harness_process *process)
{
	if (!process->child)
		return;
	harness_signal(process, SIGKILL);
	harness_wait_exit(process, KILL_WAIT_MS);
}

/* Waits for a process that was sent SIGKILL and sends it once more after KILL_WAIT_MS. SIGKILL also
 * ends a suspended process, which cannot handle SIGTERM. */
static void wait_killed(struct harness_process *process)
{
	if (!process->child)
		return;
	if (!wait_terminated(process, KILL_WAIT_MS))
		harness_signal(process, SIGKILL);
	wait_terminated(process, KILL_WAIT_MS);
	g_clear_object(&process->child);
}

static void remove_directory(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

void harness_free(struct harness *harness)
{
	for (guint i = 0; i < harness->processes->len; i++) {
		struct harness_process *process = g_ptr_array_index(harness->processes, i);

		/* SIGKILL saves time. Tests of a graceful stop have already waited for the
		 * processes to exit. */
		harness_signal(process, SIGKILL);
	}
	for (guint i = 0; i < harness->processes->len; i++) {
		struct harness_process *process = g_ptr_array_index(harness->processes, i);

		wait_killed(process);
		g_strfreev(process->argv);
		g_free(process->name);
		g_free(process->stderr_file);
		g_free(process->stdout_file);
		g_free(process);
	}
	while (reserved_count > 0)
		close(reserved_fds[--reserved_count]);
	log_path_count = 0;
	g_ptr_array_free(harness->processes, TRUE);
	remove_directory(harness->directory);
	g_free(harness->directory);
	g_free(harness);
}

/* A socket that is bound with SO_REUSEADDR but does not listen keeps the kernel from assigning its
 * port to another socket, while a listener with SO_REUSEADDR (CivetWeb, ZeroMQ) can still bind it.
 * A cluster opens so many ports and connections that, without the reservation, two processes would
 * be given the same port. */
int harness_reserve_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), ==, 0);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, length), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &length), ==, 0);
	g_assert_cmpint(reserved_count, <, MAX_RESERVED_PORTS);
	reserved_fds[reserved_count++] = fd;
	return ntohs(address.sin_port);
}
