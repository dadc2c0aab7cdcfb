package main

type jobCmd struct {
	Submit *jobSubmitCmd `arg:"subcommand:submit" help:"submit a job"`
	Show   *jobShowCmd   `arg:"subcommand:show" help:"show the state of a job and the reason for it"`
	Cancel *jobCancelCmd `arg:"subcommand:cancel" help:"cancel jobs"`
	Answer *jobAnswerCmd `arg:"subcommand:answer" help:"fetch the answer of a job"`
	List   *jobListCmd   `arg:"subcommand:list" help:"list jobs of all failure domains"`
}
