"""deploy/sites/make on a base that is made up here: what it writes, and what it refuses without writing anything."""
import os
import shutil
import subprocess
import sys
import tempfile
import unittest

MAKE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "deploy", "sites", "make")

BASE = """# The base.
name = "first"
stock = "s1"

[net]
zones = ["a", "b"]
same_ms = [0.1, 0.2]  # kept

[discovery]
mode = "ask"
call_lines = [1, 2]

[[tenant]]
name = "t1"
share = 0.6

[[tenant]]
name = "t2"
share = 0.4

[[class]]
name = "c1"
cv = [0.1, 0.2]
deadline_ms = 1000
effect = "safe"

[[class]]
name = "c2"
cv = [0.3, 0.4]
deadline_ms = 2000
effect = "keyed"
group = "all"
window_ms = 500

[fam]
order = "fifo"

[[fam.class]]
slots = [1.0]
priority = 0

[[fam.class]]
slots = [0.8, 0.2]
priority = 1
"""

OURS = """# Ours.
name = "other"

[base]
file = "kit/sites/first.toml"
without = ["discovery.call_lines"]

[net]
zones = ["x"]

[discovery]
mode = "push"

[[tenant]]

[[tenant]]
share = 0.5
"""

CLASSES = """
[[class]]
name = "d1"
deadline_ms = 300
effect = "keyed"
group = "all"
window_ms = 90

[[class]]
name = "d2"
effect = "unsafe"

[[class]]
name = "d3"
effect = "safe"
"""

FAMILY = """
[[fam.class]]
priority = 2

[[fam.class]]

[[fam.class]]
"""


class MakeTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, self.folder)
        self.given = os.path.join(self.folder, "given")
        self.sites = os.path.join(self.folder, "sites")
        self.put("given/kit/sites/first.toml", BASE)
        for name in ("real.json", "wire.json", "unlock.txt"):
            self.put("given/kit/sites/" + name, "the " + name)
        os.mkdir(self.sites)
        shutil.copy(MAKE, self.sites)

    def put(self, path, text):
        path = os.path.join(self.folder, path)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w") as file:
            file.write(text)

    def read(self, path):
        with open(os.path.join(self.sites, path)) as file:
            return file.read()

    def make(self, ours, name="other"):
        self.put("sites/" + name + ".toml", ours)
        return subprocess.run([sys.executable, os.path.join(self.sites, "make"), self.given],
                              capture_output=True, text=True)

    def refused(self, ours, complaint):
        self.put("sites/a-good.toml", OURS)  # comes first by its name, and must not be written either
        run = self.make(ours)
        self.assertEqual(run.returncode, 1, run.stderr)
        self.assertEqual(run.stdout, "")
        self.assertIn(complaint, run.stderr)
        self.assertEqual(run.stderr.count("\n"), 1)
        self.assertFalse(os.path.exists(os.path.join(self.sites, "made")))

    def test_replaces_values_and_keeps_all_else(self):
        run = self.make(OURS)
        self.assertEqual(run.returncode, 0, run.stderr)
        wanted = BASE.replace('"first"', '"other"').replace('["a", "b"]', '["x"]').replace('"ask"', '"push"')
        wanted = wanted.replace("call_lines = [1, 2]\n", "").replace("share = 0.4", "share = 0.5")
        self.assertEqual(self.read("made/other/other.toml"), wanted)
        for name in ("real.json", "wire.json", "unlock.txt"):
            self.assertEqual(self.read("made/other/" + name), "the " + name)
        self.assertEqual(run.stdout, os.path.join(self.sites, "made/other/other.toml") + "\n")

    def test_classes_are_stated_whole(self):
        run = self.make(OURS + CLASSES + FAMILY)
        self.assertEqual(run.returncode, 0, run.stderr)
        made = self.read("made/other/other.toml")
        classes = made[made.index("[[class]]"):made.index("[fam]")]
        self.assertEqual(classes, """[[class]]
name = "d1"
cv = [0.1, 0.2]
deadline_ms = 300
effect = "keyed"
group = "all"
window_ms = 90

[[class]]
name = "d2"
cv = [0.3, 0.4]
deadline_ms = 2000
effect = "unsafe"

[[class]]
name = "d3"
cv = [0.3, 0.4]
deadline_ms = 2000
effect = "safe"

""")
        family = made[made.index("[[fam.class]]"):]
        self.assertEqual(family.count("[[fam.class]]"), 3)
        self.assertIn("slots = [1.0]\npriority = 2\n", family)

    def test_refuses_a_field_that_the_base_does_not_have(self):
        self.refused(OURS.replace("zones", "zoness"), "other.toml: net: zoness names no field of the base")
        self.refused(OURS.replace("share = 0.5", "shar = 0.5"),
                     "other.toml: [[tenant]] number 2: shar names no field of the base")
        self.refused(OURS.replace("name =", "nam ="), "other.toml: the top of the file: nam names no field")
        self.refused(OURS.replace("call_lines", "calls"), "without: discovery.calls names no field of the base")
        self.refused(OURS + CLASSES.replace("deadline_ms", "deadline_us") + FAMILY,
                     "other.toml: [[class]] number 1: deadline_us names no field of the base")

    def test_refuses_a_table_that_the_base_does_not_have(self):
        self.refused(OURS.replace("[net]", "[nets]"), "other.toml: nets: the base has no such table")
        self.refused(OURS + "\n[[tenant]]\nshare = 0.1\n",
                     "other.toml: [[tenant]] number 3: the base has no such table")

    def test_refuses_counts_of_classes_that_differ(self):
        self.refused(OURS + CLASSES, "other.toml: 3 of [[class]] but 2 of [[fam.class]]")

    def test_refuses_a_missing_base_and_missing_files_beside_it(self):
        self.refused(OURS.replace("first.toml", "none.toml"), "none.toml: cannot be read")
        self.refused(OURS.replace("[base]", "[bases]"), "[base] must name the file")
        os.remove(os.path.join(self.given, "kit/sites/wire.json"))
        self.refused(OURS, "wire.json: is missing beside the base")

    def test_refuses_what_it_cannot_read(self):
        self.refused(OURS + "\nshare\n", "is neither a table nor a field on one line")
        self.refused(OURS + "share = 0.1\n", "share is given twice")


if __name__ == "__main__":
    unittest.main()
