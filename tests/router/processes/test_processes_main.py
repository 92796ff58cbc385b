"""`python -m mallowbeam`: each first argument loads only the modules of its role."""

from __future__ import annotations

import subprocess
import textwrap
import unittest

from run_python import run_python

PROGRAM = textwrap.dedent("""
    import signal, sys, types
    def stand_in(name, code):
        module = types.ModuleType(name)
        module.main = lambda: (print(name, callable(signal.getsignal(signal.SIGHUP))), code)[1]
        sys.modules[name] = module
    stand_in("mallowbeam.router.data_plane.role", 3)
    stand_in("mallowbeam.router.control_plane.role", 4)
    sys.argv = ["mallowbeam", {argument!r}]
    from mallowbeam.__main__ import main
    code = main()
    loaded = {{name.split(".")[0] for name in sys.modules}}
    print(sorted(loaded & {{"typer", "loguru", "defopt", "rich", "marshmallow", "lmdb", "httpx"}}))
    print("mallowbeam.storage_gateway.application" in sys.modules)
    sys.exit(code)
""")


class Dispatch(unittest.TestCase):
    def run_main(self, argument: str) -> subprocess.CompletedProcess[str]:
        return run_python(PROGRAM.format(argument=argument))

    def test_each_role_is_loaded_alone_with_hangups_pending(self):
        for argument, module, code in (
            ("data-plane", "mallowbeam.router.data_plane.role", 3),
            ("control-plane", "mallowbeam.router.control_plane.role", 4),
        ):
            with self.subTest(argument):
                ended = self.run_main(argument)
                self.assertEqual(ended.stderr, "")
                self.assertEqual(ended.stdout.splitlines(), [f"{module} True", "[]", "False"])
                self.assertEqual(ended.returncode, code)


if __name__ == "__main__":
    unittest.main()
