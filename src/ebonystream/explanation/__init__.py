"""Explanation of where a request would go now, without sending it."""

from ebonystream.explanation._encoding import encode_explanation
from ebonystream.explanation._explanation import (
    AdmissionFigures,
    Explanation,
    RouteFigures,
    SecondAttempt,
    ServerFigures,
    ServiceChoice,
    VersionChoice,
)
from ebonystream.explanation._query import ExplainQuery, parse_query
from ebonystream.explanation._second_attempt import explain_second_attempt
from ebonystream.explanation._servers import list_figures

__all__ = (
    'AdmissionFigures',
    'ExplainQuery',
    'Explanation',
    'RouteFigures',
    'SecondAttempt',
    'ServerFigures',
    'ServiceChoice',
    'VersionChoice',
    'encode_explanation',
    'explain_second_attempt',
    'list_figures',
    'parse_query',
)
