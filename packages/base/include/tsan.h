/*
 * Tells ThreadSanitizer about synchronization inside libraries that it does not instrument.
 * In builds without ThreadSanitizer the macros have no effect. A build with GG_SANITIZE=thread
 * includes this file before every source file (-include), so that calls of the four GLib functions
 * at the end of this file call the wrappers.
 */
#ifndef GG_TSAN_H
#define GG_TSAN_H

#ifdef __SANITIZE_THREAD__

#include <glib.h>
#include <sanitizer/tsan_interface.h>

/* Whatever a thread does before TSAN_RELEASE happens before whatever another thread does after
 * TSAN_ACQUIRE of the same address. */
#define TSAN_RELEASE(address) __tsan_release((void *)(address))
#define TSAN_ACQUIRE(address) __tsan_acquire((void *)(address))

/* GMutex and GCond are implemented with futexes, whose synchronization ThreadSanitizer does not
 * see. */
static inline void tsan_mutex_lock(GMutex *mutex)
{
	g_mutex_lock(mutex);
	TSAN_ACQUIRE(mutex);
}

static inline void tsan_mutex_unlock(GMutex *mutex)
{
	TSAN_RELEASE(mutex);
	g_mutex_unlock(mutex);
}

static inline void tsan_cond_wait(GCond *cond, GMutex *mutex)
{
	TSAN_RELEASE(mutex);
	g_cond_wait(cond, mutex);
	TSAN_ACQUIRE(mutex);
}

static inline gboolean tsan_cond_wait_until(GCond *cond, GMutex *mutex, gint64 end_us)
{
	gboolean signalled;

	TSAN_RELEASE(mutex);
	signalled = g_cond_wait_until(cond, mutex, end_us);
	TSAN_ACQUIRE(mutex);
	return signalled;
}

#define g_mutex_lock(mutex) tsan_mutex_lock(mutex)
#define g_mutex_unlock(mutex) tsan_mutex_unlock(mutex)
#define g_cond_wait(cond, mutex) tsan_cond_wait(cond, mutex)
#define g_cond_wait_until(cond, mutex, end_us) tsan_cond_wait_until(cond, mutex, end_us)

#else

#define TSAN_RELEASE(address) ((void)(address))
#define TSAN_ACQUIRE(address) ((void)(address))

#endif

#endif
