"""Source trees of other commits."""

import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


@contextmanager
def source_trees(revisions: tuple[str, ...]) -> Iterator[dict[str, Path]]:
    """Give source trees by name: this one, and one for each commit.

    :param revisions: the commits, as git knows them.
    :yields: the trees; those of commits are removed at the end.
    """
    with tempfile.TemporaryDirectory() as folder:
        trees = {"here": ROOT}
        try:
            for revision in revisions:
                path = Path(folder) / revision.replace("/", "-")
                _git("worktree", "add", "--detach", "--quiet", str(path), revision)
                trees[revision] = path
            yield trees
        finally:
            for path in list(trees.values())[1:]:
                _git("worktree", "remove", "--force", str(path))


def _git(*words: str) -> None:
    subprocess.run(["git", *words], cwd=ROOT, check=True)
