"""HTTP towards callers, upstreams and operators."""

from cactuswalk.http.announcements import AnnounceBody, make_announce_application
from cactuswalk.http.upstream import UpstreamClient

__all__ = ["AnnounceBody", "UpstreamClient", "make_announce_application"]
