"""Hooks of behave: what a scenario started is ended with it."""


def after_scenario(context, scenario):
    for clean_up in reversed(getattr(context, "clean_ups", [])):
        clean_up()
