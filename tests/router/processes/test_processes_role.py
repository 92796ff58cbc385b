"""A role's process: start, reloaded settings and stop."""

from __future__ import annotations

import os
import signal
import subprocess
import tempfile
import textwrap
import unittest
from pathlib import Path

from run_python import run_python, start_python

from mallowbeam.router.processes.role import RoleContext, file_signature
from mallowbeam.router.processes.settings import read_settings

SETTINGS = """
node_name = "node-1"
role = "data-plane"
machine_class = "edge"
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [7000, 7001]
heartbeat_ms = {}
"""


class WithFile(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.toml"
        self.write(SETTINGS.format(100))

    def write(self, text: str) -> None:
        self.path.write_text(text)


class Reloading(WithFile):
    def setUp(self):
        super().setUp()
        self.context = RoleContext(read_settings(str(self.path)), str(self.path))
        self.seen: list[float] = []
        self.context.on_reload(lambda settings: self.seen.append(settings.heartbeat_ms))

    def test_changed_settings_reach_the_callback(self):
        self.write(SETTINGS.format(250))
        self.context.reload()
        self.assertEqual(self.seen, [250.0])
        self.assertEqual(self.context.settings.heartbeat_ms, 250.0)

    def test_equal_settings_do_not_reach_the_callback(self):
        self.write(SETTINGS.format(100) + "# a word\n")
        self.context.reload()
        self.assertEqual(self.seen, [])

    def test_a_bad_file_changes_nothing_and_the_next_good_one_counts(self):
        self.write("node_name = ")
        self.context.reload()
        self.assertEqual((self.seen, self.context.settings.heartbeat_ms), ([], 100.0))
        self.write(SETTINGS.format(300))
        self.context.reload_if_changed()
        self.assertEqual(self.seen, [300.0])

    def test_a_missing_file_changes_nothing(self):
        self.path.unlink()
        self.context.reload_if_changed()
        self.assertEqual(self.seen, [])
        self.assertIsNone(file_signature(str(self.path)))

    def test_a_change_without_a_signal_is_seen_by_size_or_time(self):
        self.context.reload_if_changed()
        self.assertEqual(self.seen, [])
        self.write(SETTINGS.format(1000))  # another size
        self.context.reload_if_changed()
        before = self.path.stat()
        self.write(SETTINGS.format(2000))  # the same size, another time
        os.utime(self.path, ns=(before.st_atime_ns, before.st_mtime_ns + 1))
        self.context.reload_if_changed()
        self.assertEqual(self.seen, [1000.0, 2000.0])

    def test_a_file_that_replaces_the_old_one_is_read(self):
        before = self.path.stat()
        replacement = self.path.with_suffix(".new")
        replacement.write_text(SETTINGS.format(200))
        os.utime(replacement, ns=(before.st_atime_ns, before.st_mtime_ns))
        replacement.replace(self.path)
        self.context.reload_if_changed()
        self.assertEqual(self.seen, [200.0])

    def test_failing_callback_does_not_block_the_others(self):
        def fails(_: object) -> None:
            raise RuntimeError("no")

        context = RoleContext(read_settings(str(self.path)), str(self.path))
        context.on_reload(fails)
        context.on_reload(lambda settings: self.seen.append(settings.heartbeat_ms))
        self.write(SETTINGS.format(400))
        context.reload()
        self.assertEqual(self.seen, [400.0])


class Running(WithFile):
    def run_program(self, body: str) -> subprocess.CompletedProcess[str]:
        program = textwrap.dedent("""
            import asyncio, os, signal, sys
            from mallowbeam.errors import MallowbeamError
            from mallowbeam.router.processes.role import run_role
            PATH = os.environ["MALLOWBEAM_NODE_FILE"]
            async def serve(context):
            {}
            sys.exit(run_role(serve))
        """).format(textwrap.indent(textwrap.dedent(body).strip(), "    "))
        return self.run_text(program)

    def run_text(self, program: str) -> subprocess.CompletedProcess[str]:
        return run_python(program, MALLOWBEAM_NODE_FILE=str(self.path))

    def test_each_stop_signal_ends_it_as_planned(self):
        for name in ("SIGTERM", "SIGINT"):
            with self.subTest(name):
                ended = self.run_program(f"""
                    os.kill(os.getpid(), signal.{name})
                    await context.stopping.wait()
                    print("stopping")
                """)
                self.assertEqual((ended.returncode, ended.stdout, ended.stderr), (0, "stopping\n", ""))

    def test_further_signals_while_the_interpreter_ends_leave_the_exit_status_as_it_is(self):
        program = textwrap.dedent("""
            import asyncio, sys
            from mallowbeam.router.processes.role import run_role
            async def serve(context):
                await asyncio.get_running_loop().getaddrinfo("localhost", 80)  # starts the loop's threads
                print("serving", flush=True)
                await context.stopping.wait()
                print("stopping", flush=True)
            sys.exit(run_role(serve))
        """)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            with self.subTest(number):
                process = start_python(program, MALLOWBEAM_NODE_FILE=str(self.path))
                assert process.stdout is not None
                self.assertEqual(process.stdout.readline(), "serving\n")
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.stdout.readline(), "stopping\n")
                while process.poll() is None:
                    process.send_signal(number)
                process.stdout.close()
                self.assertEqual(process.returncode, 0)

    def test_a_hangup_brings_new_settings(self):
        ended = self.run_program("""
            changed = asyncio.Event()
            def take(settings):
                print(settings.heartbeat_ms)
                changed.set()
            context.on_reload(take)
            text = open(PATH).read()
            open(PATH, "w").write(text.replace("100", "175"))
            os.kill(os.getpid(), signal.SIGHUP)
            await changed.wait()
        """)
        self.assertEqual((ended.returncode, ended.stdout), (0, "175.0\n"))
        self.assertIn("INFO node-1 mallowbeam.role: settings changed", ended.stderr)

    def test_a_hangup_before_the_loop_runs_is_not_lost(self):
        self.write(SETTINGS.format(100))
        program = textwrap.dedent("""
            import asyncio, os, signal, sys
            from mallowbeam.router.processes import role
            PATH = os.environ["MALLOWBEAM_NODE_FILE"]
            set_up = role.set_up_logging
            def hang_up(node):                 # the file was just read, the loop does not run yet
                text = open(PATH).read()
                open(PATH, "w").write(text.replace("100", "175"))
                os.kill(os.getpid(), signal.SIGHUP)
                return set_up(node)
            role.set_up_logging = hang_up
            async def serve(context):
                changed = asyncio.Event()
                context.on_reload(lambda settings: changed.set())
                await changed.wait()
                print(context.settings.heartbeat_ms)
            sys.exit(role.run_role(serve))
        """)
        ended = self.run_text(program)
        self.assertEqual((ended.returncode, ended.stdout), (0, "175.0\n"))

    def test_unusable_settings_end_it_with_one_line(self):
        self.write(SETTINGS.format('"no"'))
        ended = self.run_program("print('not reached')")
        self.assertEqual((ended.returncode, ended.stdout), (2, ""))
        self.assertEqual(len(ended.stderr.splitlines()), 1)
        self.assertIn("heartbeat_ms: must be a number", ended.stderr)

    def test_an_error_of_ours_ends_it_with_one_line(self):
        ended = self.run_program('raise MallowbeamError("in use", "10.0.0.1:80", "free the port")')
        self.assertEqual(ended.returncode, 2)
        self.assertEqual(ended.stderr, "mallowbeam: 10.0.0.1:80: in use (free the port)\n")

    def test_an_unforeseen_error_ends_it_with_its_trace_in_the_log(self):
        ended = self.run_program("raise RuntimeError('odd')")
        self.assertEqual(ended.returncode, 1)
        self.assertIn("the role failed [RuntimeError: odd; at ", ended.stderr)

    def test_unhandled_event_loop_error_is_logged_and_the_role_continues(self):
        ended = self.run_program("""
            asyncio.get_running_loop().call_soon(lambda: 1 / 0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            print("on")
        """)
        self.assertEqual((ended.returncode, ended.stdout), (0, "on\n"))
        self.assertIn("unhandled error in the event loop", ended.stderr)
        self.assertIn("ZeroDivisionError", ended.stderr)

    def test_startup_objects_are_excluded_from_garbage_collection(self):
        ended = self.run_program("""
            import gc
            print(gc.isenabled(), gc.get_freeze_count() > 0, gc.get_threshold()[0] > 700)
        """)
        self.assertEqual(ended.stdout, "True True True\n")


if __name__ == "__main__":
    unittest.main()
