"""HTTP interfaces for callers, upstreams and operators."""

from cactuswalk.http.announcements import AnnounceBody, make_announce_application
from cactuswalk.http.callers import EntryCallables, make_callers_application
from cactuswalk.http.problems import InputCode, Problem, ProblemError
from cactuswalk.http.server import HttpServer
from cactuswalk.http.upstream import UpstreamClient

__all__ = [
    "AnnounceBody",
    "EntryCallables",
    "HttpServer",
    "InputCode",
    "Problem",
    "ProblemError",
    "UpstreamClient",
    "make_announce_application",
    "make_callers_application",
]
